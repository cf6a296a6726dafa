// HTTP/1.1 messages (RFC 9112) as values, and the size limits that the parser enforces.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace beechhill::http {

/// Maximum size in bytes of a start line with its header lines, and of a chunked body's trailer.
inline constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;
/// Maximum size in bytes of a body that is buffered as a whole.
inline constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{64} * 1024;
/// Maximum size in bytes of a body that is streamed.
inline constexpr std::size_t kMaxStreamedBodyBytes = std::size_t{40} * 1024 * 1024;
/// Maximum size in bytes of the empty lines before a request (RFC 9112, section 2.2).
inline constexpr std::size_t kMaxEmptyLineBytes = 64;
/// Maximum number of header fields, as each takes memory of its own beside its bytes.
inline constexpr std::size_t kMaxHeaderFields = 256;
/// Maximum number of 1xx responses before the final response.
inline constexpr std::size_t kMaxInterimResponses = 8;

struct Headers {
  /// Pairs of a name as received and a value without surrounding whitespace, in order of arrival.
  std::vector<std::pair<std::string, std::string>> fields;

  /// Returns the value of the first field named `name`, or null if there is none. Names are
  /// compared without regard to case. The pointer is valid until `fields` changes.
  const std::string* find(std::string_view name) const;
  /// Returns the number of fields named `name`, compared without regard to case.
  std::size_t count(std::string_view name) const;
  /// Returns whether a field named `name`, read as a comma-separated list, contains `token`. Both
  /// are compared without regard to case.
  bool has_token(std::string_view name, std::string_view token) const;
};

struct Message {
  /// Set in requests. The target is in origin form: it begins with '/'.
  std::string method;
  std::string target;
  /// Set in responses.
  int status = 0;
  int minor_version = 1;
  Headers headers;
  std::string body;

  /// Returns whether the connection persists after this message (RFC 9112, section 9.3).
  bool keep_alive() const;
  /// Returns the number of bytes of memory that the message occupies.
  std::size_t memory_bytes() const;
};

}  // namespace beechhill::http
