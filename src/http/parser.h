// Parsers of HTTP/1.1 messages (RFC 9112) as their bytes come. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/chunked_decoder.h"
#include "http/message.h"
#include "http/progress.h"

namespace beechhill::http {

/// Parses one message. A caller uses one of feed(), feed_part(), or feed_head() and feed_body(),
/// and passes what has come so far; each takes what it has used off the front of the buffer.
class Parser {
 public:
  /// kResponseHead: the body's end need not be stated, as the caller stops before it.
  enum class Kind { kRequest, kResponse, kResponseHead };

  explicit Parser(Kind kind) : kind_(kind) {}

  /// The complete message, with a body of at most kMaxBufferedBodyBytes bytes.
  Progress feed(std::string& buffer);
  /// The head and what has come of the body, of at most kMaxStreamedBody bytes.
  Progress feed_part(std::string& buffer);
  /// The head alone.
  Progress feed_head(std::string& buffer);
  /// After the head: appends the body's bytes to `body`, at most kMaxStreamedBody in all.
  Progress feed_body(std::string& buffer, std::string& body);
  /// The connection has ended: kDone where that ends the body, else kBad.
  Progress end();

  Message& message() { return message_; }
  bool head_done() const { return framing_ != Framing::kUnknown; }
  bool chunked() const { return framing_ == Framing::kChunked; }
  /// The body's length in bytes, where the head states it.
  std::optional<std::uint64_t> length() const { return length_; }
  /// The status code that answers a request that is kBad.
  int error_status() const { return error_status_; }

 private:
  enum class Framing { kUnknown, kLength, kChunked, kUntilEnd };
  struct FramingFields {
    bool is_chunked = false;
    std::optional<std::uint64_t> length;
  };

  Progress fail(int status);
  bool skip_empty_lines(std::string& buffer);
  bool parse_head(std::string_view head);
  bool parse_start_line(std::string_view line);
  bool parse_request_line(std::string_view line);
  bool parse_status_line(std::string_view line);
  bool parse_version(std::string_view version);
  bool parse_header_line(std::string_view line);
  std::optional<FramingFields> read_framing_fields() const;
  bool determine_framing();

  Kind kind_;
  Message message_;
  Framing framing_ = Framing::kUnknown;
  std::optional<std::uint64_t> length_;
  std::size_t body_bytes_left_ = 0;
  std::size_t decoded_bytes_ = 0;
  std::size_t scanned_bytes_ = 0;  // of the buffer, that hold no end of the head
  std::size_t empty_line_bytes_ = 0;
  std::size_t interim_responses_ = 0;
  ChunkedDecoder chunked_decoder_;
  int error_status_ = 400;
};

/// Whether a request may begin with `bytes`, however few. Bytes after a request of which this is
/// false show that the request's length was wrong.
bool may_begin_request(std::string_view bytes);

}  // namespace beechhill::http
