#include "http/parser.h"

#include <algorithm>

#include "http/field_values.h"
#include "http/syntax.h"

namespace beechhill::http {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kVersionSize = std::string_view("HTTP/1.1").size();
constexpr std::size_t kStatusCodeSize = 3;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// A buffered body grows by a quarter of its size, and by this many bytes at least. std::string
// would double it, so that a body could take twice its size in memory.
constexpr std::size_t kMinBodyGrowthBytes = std::size_t{4} * 1024;
constexpr std::size_t kBodyGrowthDivisor = 4;

void append_to_body(std::string& body, std::string_view bytes) {
  const std::size_t size = body.size() + bytes.size();
  if (!body.empty() && size > body.capacity()) {
    std::string grown;
    grown.reserve(size + std::max(kMinBodyGrowthBytes, size / kBodyGrowthDivisor));
    grown.append(body);
    body.swap(grown);
  }
  body.append(bytes);
}

bool is_ascii(std::string_view text) {
  return std::none_of(text.begin(), text.end(),
                      [](char c) { return (static_cast<unsigned char>(c) & 0x80) != 0; });
}

// Converts a target in absolute form to origin form (RFC 9112, section 3.2.2). Returns false if its
// host is empty.
bool to_origin_form(std::string& target) {
  constexpr std::string_view kScheme = "http://";
  if (!equals_ignoring_case(std::string_view(target).substr(0, kScheme.size()), kScheme)) {
    return true;
  }
  const auto path = target.find_first_of("/?", kScheme.size());
  if (path == kScheme.size()) {
    return false;
  }
  target.erase(0, path);
  if (!target.starts_with('/')) {
    target.insert(0, 1, '/');
  }
  return true;
}

}  // namespace

Progress Parser::fail(int status) {
  error_status_ = status;
  return Progress::kMalformed;
}

Progress Parser::feed(std::string& buffer) {
  const Progress progress = feed_part(buffer);
  if (progress == Progress::kMalformed || kind_ == Kind::kResponseHead) {
    return progress;
  }
  const bool too_large =
      length_.value_or(0) > kMaxBufferedBodyBytes || message_.body.size() > kMaxBufferedBodyBytes;
  return too_large ? fail(413) : progress;
}

Progress Parser::feed_part(std::string& buffer) {
  if (!head_done()) {
    const Progress head = feed_head(buffer);
    if (head != Progress::kComplete || kind_ == Kind::kResponseHead) {
      return head;
    }
  }
  return feed_body(buffer, message_.body);
}

Progress Parser::end() {
  return framing_ == Framing::kUntilClose ? Progress::kComplete : fail(400);
}

// Removes the empty lines before a request. Returns false if they exceed kMaxEmptyLineBytes.
bool Parser::skip_empty_lines(std::string& buffer) {
  std::size_t skipped = 0;
  while (std::string_view(buffer).substr(skipped).starts_with(kLineEnd)) {
    skipped += kLineEnd.size();
  }
  buffer.erase(0, skipped);
  empty_line_bytes_ += skipped;
  return empty_line_bytes_ <= kMaxEmptyLineBytes;
}

Progress Parser::feed_head(std::string& buffer) {
  for (;;) {
    if (kind_ == Kind::kRequest && scanned_bytes_ == 0 && !skip_empty_lines(buffer)) {
      return fail(400);
    }
    const auto end = buffer.find(kHeadEnd, scanned_bytes_);
    if (std::min(end, buffer.size()) > kMaxHeadBytes) {
      return fail(431);
    }
    if (end == std::string::npos) {
      // The buffer may end with a part of kHeadEnd, which the next search must include.
      scanned_bytes_ = buffer.size() - std::min(buffer.size(), kHeadEnd.size() - 1);
      return Progress::kNeedsMore;
    }
    scanned_bytes_ = 0;
    const std::string head = buffer.substr(0, end);
    buffer.erase(0, end + kHeadEnd.size());
    if (!parse_head(head)) {
      return Progress::kMalformed;
    }
    const bool is_interim = kind_ != Kind::kRequest && message_.status < kFirstFinalStatus;
    if (!is_interim) {
      return determine_framing() ? Progress::kComplete : Progress::kMalformed;
    }
    if (++interim_responses_ > kMaxInterimResponses) {
      return fail(431);
    }
  }
}

bool Parser::parse_head(std::string_view head) {
  message_ = {};
  for (std::size_t line_start = 0; line_start <= head.size();) {
    const std::size_t line_end = std::min(head.find(kLineEnd, line_start), head.size());
    const std::string_view line = head.substr(line_start, line_end - line_start);
    if (!(line_start == 0 ? parse_start_line(line) : parse_header_line(line))) {
      return false;
    }
    line_start = line_end + kLineEnd.size();
  }
  return true;
}

bool Parser::parse_start_line(std::string_view line) {
  return kind_ == Kind::kRequest ? parse_request_line(line) : parse_status_line(line);
}

bool Parser::parse_request_line(std::string_view line) {
  const auto first_space = line.find(' ');
  const auto last_space = line.rfind(' ');
  if (first_space == std::string_view::npos || first_space == last_space) {
    return false;
  }
  message_.method = line.substr(0, first_space);
  message_.target = line.substr(first_space + 1, last_space - first_space - 1);
  if (!to_origin_form(message_.target)) {
    return false;
  }
  if (!is_token(message_.method) || !message_.target.starts_with('/') ||
      !is_visible(message_.target) || !is_ascii(message_.target)) {
    return false;
  }
  return parse_version(line.substr(last_space + 1));
}

// Parses a status line such as "HTTP/1.1 200 OK". The reason phrase may be absent.
bool Parser::parse_status_line(std::string_view line) {
  constexpr std::size_t kCodeStart = kVersionSize + 1;
  if (line.size() < kCodeStart + kStatusCodeSize || line[kVersionSize] != ' ') {
    return false;
  }
  const auto status = parse_unsigned(line.substr(kCodeStart, kStatusCodeSize));
  if (!status || *status < 100) {
    return false;
  }
  message_.status = static_cast<int>(*status);
  return parse_version(line.substr(0, kVersionSize));
}

bool Parser::parse_version(std::string_view version) {
  if (version.size() != kVersionSize || !version.starts_with("HTTP/")) {
    return false;
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    fail(505);
    return false;
  }
  message_.minor_version = version.back() - '0';
  return true;
}

bool Parser::parse_header_line(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
    return false;
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = trim(line.substr(colon + 1));
  if (!is_field_value(value)) {
    // A response with an invalid field value is accepted without the field, unless the field
    // determines the framing.
    return kind_ != Kind::kRequest && !equals_ignoring_case(name, "Content-Length") &&
           !equals_ignoring_case(name, "Transfer-Encoding");
  }
  if (message_.headers.fields.size() >= kMaxHeaderFields) {
    fail(431);
    return false;
  }
  message_.headers.fields.emplace_back(name, value);
  return true;
}

// Returns nullopt if a framing field is repeated or has an unsupported value.
std::optional<Parser::FramingFields> Parser::read_framing_fields() const {
  FramingFields fields;
  for (const auto& [name, value] : message_.headers.fields) {
    if (equals_ignoring_case(name, "Transfer-Encoding")) {
      if (fields.is_chunked || !equals_ignoring_case(value, "chunked")) {
        return std::nullopt;
      }
      fields.is_chunked = true;
    } else if (equals_ignoring_case(name, "Content-Length")) {
      const auto stated = parse_unsigned(value);
      if (!stated || fields.length) {
        return std::nullopt;
      }
      fields.length = stated;
    }
  }
  return fields;
}

// Determines how the end of the body is found (RFC 9112, section 6.3). Framings that a proxy need
// not support are rejected.
bool Parser::determine_framing() {
  const std::optional<FramingFields> fields = read_framing_fields();
  if (!fields) {
    return false;
  }
  // Rejects a message with both fields, as two recipients could frame it differently, which permits
  // request smuggling.
  if (fields->is_chunked && fields->length) {
    return false;
  }
  if (fields->length.value_or(0) > kMaxStreamedBodyBytes) {
    fail(413);
    return false;
  }
  length_ = fields->length;
  body_bytes_left_ = length_.value_or(0);
  const bool may_last_until_close =
      kind_ != Kind::kRequest && message_.status != kNoContent && message_.status != kNotModified;
  if (fields->is_chunked) {
    framing_ = Framing::kChunked;
  } else if (length_ || !may_last_until_close) {
    framing_ = Framing::kLength;
  } else {
    // Rejects a response without a stated length or "Connection: close", as its complete body
    // cannot be distinguished from a truncated one.
    if (kind_ == Kind::kResponse && !message_.headers.has_token("Connection", "close")) {
      return false;
    }
    framing_ = Framing::kUntilClose;
  }
  return true;
}

Progress Parser::feed_body(std::string& buffer, std::string& body) {
  Progress progress = Progress::kNeedsMore;
  const std::size_t size_before = body.size();
  if (framing_ == Framing::kChunked) {
    progress = chunked_decoder_.feed(buffer, body);
    if (progress == Progress::kMalformed) {
      return fail(400);
    }
  } else if (framing_ == Framing::kLength) {
    const std::size_t available = std::min(body_bytes_left_, buffer.size());
    append_to_body(body, std::string_view(buffer).substr(0, available));
    buffer.erase(0, available);
    body_bytes_left_ -= available;
    progress = body_bytes_left_ == 0 ? Progress::kComplete : Progress::kNeedsMore;
  } else {
    append_to_body(body, buffer);
    buffer.clear();
  }
  decoded_bytes_ += body.size() - size_before;
  return decoded_bytes_ > kMaxStreamedBodyBytes ? fail(413) : progress;
}

bool may_begin_request(std::string_view bytes) {
  while (bytes.starts_with(kLineEnd)) {
    bytes.remove_prefix(kLineEnd.size());
  }
  const auto matches = [bytes](std::string_view method) {
    return bytes.substr(0, method.size()) == method.substr(0, bytes.size());
  };
  return matches("GET ") || matches("POST ") || bytes == "\r";
}

}  // namespace beechhill::http
