// HTTP/1.1 messages: incremental parsers that take bytes off the front of a buffer, and writers. No
// I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace beechhill::http {

inline constexpr std::size_t kMaxHead = 16 * 1024;
inline constexpr std::size_t kMaxBody = 64 * 1024;             // of a message taken whole
inline constexpr std::size_t kMaxStreamed = 40 * 1024 * 1024;  // of one passed on as it comes
inline constexpr std::size_t kMaxBlank = 64;   // bytes of blank lines before a request
inline constexpr std::size_t kMaxInterim = 8;  // 1xx answers before the real one

struct Headers {
  std::vector<std::pair<std::string, std::string>> fields;
  // The first field of that name, in any case of letters.
  const std::string* find(std::string_view name) const;
  std::size_t count(std::string_view name) const;
  // Whether a comma-separated field holds this token.
  bool has_token(std::string_view name, std::string_view token) const;
};

struct Message {
  std::string method, target;  // of a request
  int status = 0;              // of a response
  int minor_version = 1;
  Headers headers;
  std::string body;
  bool keep_alive() const;
};

enum class Progress { kMore, kDone, kBad };

// Decodes a chunked body, trailers included.
class ChunkedDecoder {
 public:
  // Moves decoded bytes from `buffer` to `body`; kBad where the framing is wrong.
  Progress feed(std::string& buffer, std::string& body);

 private:
  Progress decode(std::string_view buffer, std::size_t& used, std::string& body);
  enum class State { kSize, kData, kDataEnd, kTrailer };
  State state_ = State::kSize;
  std::size_t left_ = 0, trailer_ = 0;
};

class Parser {
 public:
  enum class Kind { kRequest, kResponse, kResponseHead };
  explicit Parser(Kind kind) : kind_(kind) {}

  // The whole message, up to kMaxBody.
  Progress feed(std::string& buffer);
  // Or in parts: the head and what there is of the body, up to kMaxStreamed in all, for whoever
  // stops at a part of it.
  Progress feed_part(std::string& buffer);
  // Or by themselves: the head, and then, until kDone, the body's bytes from `buffer` to `out`.
  Progress feed_head(std::string& buffer);
  Progress feed_body(std::string& buffer, std::string& out);
  // The peer has ended: kDone if that is how the body ends.
  Progress end();

  Message& message() { return message_; }
  bool head_done() const { return body_ != Body::kUnknown; }
  bool chunked() const { return body_ == Body::kChunked; }
  std::optional<std::uint64_t> length() const { return length_; }  // as stated
  int error_status() const { return error_status_; }  // what to answer a request that is kBad

 private:
  enum class Body { kUnknown, kLength, kChunked, kUntilEnd };
  Progress bad(int status);
  bool start_line(std::string_view line);
  bool header_line(std::string_view line);
  bool skip_blank(std::string& buffer);
  bool framing();

  Kind kind_;
  Message message_;
  Body body_ = Body::kUnknown;
  std::optional<std::uint64_t> length_;
  std::size_t left_ = 0, decoded_ = 0;
  std::size_t scanned_ = 0, blank_ = 0, interim_ = 0;  // of the head so far
  ChunkedDecoder chunked_;
  int error_status_ = 400;
};

// The head of a response whose body follows: of that length, or else chunked.
std::string write_response_head(int status, std::string_view extra,
                                std::optional<std::uint64_t> length, bool close);
// One chunk of a body; an empty one ends it.
std::string write_chunk(std::string_view bytes);
// A whole response. `extra` holds further header lines, each with its line end.
std::string write_response(int status, std::string_view extra, std::string_view body, bool close);
// The head of a request whose body follows: of that length, or else chunked.
std::string write_request_head(std::string_view method, std::string_view target,
                               std::string_view host, std::string_view extra,
                               std::optional<std::uint64_t> length);
std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view extra, std::string_view body);

// Whether a request may begin like this, however little there is of it: what else follows a request
// shows that its length was wrong.
bool may_begin_request(std::string_view bytes);

// Whole digits only; nothing where that is not a number or does not fit.
std::optional<std::uint64_t> whole_number(std::string_view text);

// The value of `column` in a load report: "TEXT inflight=7, util=0.61". Nothing where it is no
// number. Whether it can be true is not asked here.
std::optional<double> load_value(std::string_view report, std::string_view column);

// A span as `Retry-After` carries it: decimal seconds.
std::string retry_after(std::chrono::microseconds span);

}  // namespace beechhill::http
