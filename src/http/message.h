// An HTTP/1.1 message (RFC 9112) as a value, and the limits that messages are held to.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace beechhill::http {

/// Bytes of a start line and its header lines, or of a chunked body's trailer.
inline constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;
/// Bytes of the body of a message that is buffered as a whole.
inline constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{64} * 1024;
/// Bytes of the body of a message that is streamed.
inline constexpr std::size_t kMaxStreamedBody = std::size_t{40} * 1024 * 1024;
/// Bytes of empty lines before a request (RFC 9112, section 2.2).
inline constexpr std::size_t kMaxEmptyLineBytes = 64;
/// 1xx responses before the final one.
inline constexpr std::size_t kMaxInterimResponses = 8;

struct Headers {
  /// Names as received, values without the surrounding whitespace.
  std::vector<std::pair<std::string, std::string>> fields;

  /// The value of the first field called `name`, in any case of letters. Null where there is none.
  const std::string* find(std::string_view name) const;
  /// How many fields are called `name`.
  std::size_t count(std::string_view name) const;
  /// Whether a field called `name`, a comma-separated list, holds `token` in any case of letters.
  bool has_token(std::string_view name, std::string_view token) const;
};

struct Message {
  /// Of a request. The target is in origin form: it begins with '/'.
  std::string method;
  std::string target;
  /// Of a response.
  int status = 0;
  int minor_version = 1;
  Headers headers;
  std::string body;

  /// Whether the connection may carry another message after this one (RFC 9112, section 9.3).
  bool keep_alive() const;
};

}  // namespace beechhill::http
