// Incremental parsers of HTTP/1.1 messages (RFC 9112). They perform no I/O.
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

/// Parses one message. A caller must use only feed(), only feed_part(), or feed_head() followed by
/// feed_body(). Each call takes a buffer of received bytes and removes the parsed bytes from its
/// front.
class Parser {
 public:
  /// With kResponseHead, only the head is parsed, so that a response without a stated body length
  /// is accepted.
  enum class Kind { kRequest, kResponse, kResponseHead };

  explicit Parser(Kind kind) : kind_(kind) {}

  /// Parses a complete message with a body of at most kMaxBufferedBodyBytes.
  Progress feed(std::string& buffer);
  /// Parses the head, then appends the received part of the body to message().body. The whole body
  /// may have at most kMaxStreamedBodyBytes.
  Progress feed_part(std::string& buffer);
  /// Parses the head alone.
  Progress feed_head(std::string& buffer);
  /// Appends the received part of the body to `body`. The whole body may have at most
  /// kMaxStreamedBodyBytes. Must be called only after the head is complete.
  Progress feed_body(std::string& buffer, std::string& body);
  /// Handles the end of the connection. Returns kComplete if the end of the connection ends the
  /// body, otherwise kMalformed, as the message is truncated.
  Progress end();

  Message& message() { return message_; }
  bool head_done() const { return framing_ != Framing::kUnknown; }
  bool chunked() const { return framing_ == Framing::kChunked; }
  /// The body's length in bytes as stated by Content-Length.
  std::optional<std::uint64_t> length() const { return length_; }
  /// Status code with which to answer a request after a call returned kMalformed.
  int error_status() const { return error_status_; }

 private:
  enum class Framing { kUnknown, kLength, kChunked, kUntilClose };
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
  // Number of bytes at the front of the buffer that do not contain the end of the head.
  std::size_t scanned_bytes_ = 0;
  std::size_t empty_line_bytes_ = 0;
  std::size_t interim_responses_ = 0;
  ChunkedDecoder chunked_decoder_;
  int error_status_ = 400;
};

/// Returns whether `bytes` may be the beginning of a GET or POST request, which empty lines may
/// precede. An incomplete method is accepted. If this function returns false for the bytes after a
/// request, the stated length of that request was wrong.
bool may_begin_request(std::string_view bytes);

}  // namespace beechhill::http
