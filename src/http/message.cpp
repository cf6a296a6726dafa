#include "http/message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace beechhill::http {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxChunkLine = 4096;  // with its extensions

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool same(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view trim(std::string_view text) {
  const auto from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) {
    return {};
  }
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

bool printable(std::string_view text, bool blanks) {
  return std::all_of(text.begin(), text.end(), [&](char c) {
    const auto u = static_cast<unsigned char>(c);
    return (u > 0x20 && u != 0x7f) || (blanks && (c == ' ' || c == '\t'));
  });
}

// Takes the next part of a list off its front.
std::string_view next_part(std::string_view& list, char separator) {
  const auto at = list.find(separator);
  const std::string_view part = list.substr(0, at);
  list.remove_prefix(at == std::string_view::npos ? list.size() : at + 1);
  return trim(part);
}

const char* phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Status";
  }
}

}  // namespace

const std::string* Headers::find(std::string_view name) const {
  for (const auto& [n, value] : fields) {
    if (same(n, name)) {
      return &value;
    }
  }
  return nullptr;
}

std::size_t Headers::count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      fields.begin(), fields.end(), [&](const auto& field) { return same(field.first, name); }));
}

bool Headers::has_token(std::string_view name, std::string_view token) const {
  for (const auto& [n, value] : fields) {
    if (!same(n, name)) {
      continue;
    }
    for (std::string_view list = value; !list.empty();) {
      if (same(next_part(list, ','), token)) {
        return true;
      }
    }
  }
  return false;
}

bool Message::keep_alive() const {
  if (headers.has_token("Connection", "close")) {
    return false;
  }
  return minor_version >= 1 || headers.has_token("Connection", "keep-alive");
}

bool may_begin_request(std::string_view bytes) {
  while (bytes.starts_with(kLineEnd)) {
    bytes.remove_prefix(kLineEnd.size());
  }
  const auto fits = [&](std::string_view start) {
    return bytes.substr(0, start.size()) == start.substr(0, bytes.size());
  };
  return fits("GET ") || fits("POST ") || bytes == "\r";
}

std::optional<std::uint64_t> whole_number(std::string_view text) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (text.empty() || error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<double> load_value(std::string_view report, std::string_view column) {
  report = trim(report);
  if (report.substr(0, 5) != "TEXT ") {
    return std::nullopt;
  }
  report.remove_prefix(5);
  while (!report.empty()) {
    const std::string_view part = next_part(report, ',');
    const auto equals = part.find('=');
    if (equals == std::string_view::npos || trim(part.substr(0, equals)) != column) {
      continue;
    }
    const std::string_view digits = trim(part.substr(equals + 1));
    double value = 0;
    const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (error != std::errc{} || stop != digits.data() + digits.size() || !std::isfinite(value)) {
      return std::nullopt;
    }
    return value;
  }
  return std::nullopt;
}

std::string retry_after(std::chrono::microseconds span) {
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(span).count();
  std::string thousandths = std::to_string(ms % 1000);
  thousandths.insert(0, 3 - thousandths.size(), '0');
  return std::to_string(ms / 1000) + "." + thousandths;
}

Progress ChunkedDecoder::feed(std::string& buffer, std::string& body) {
  std::size_t used = 0;
  const Progress progress = decode(buffer, used, body);
  buffer.erase(0, used);  // once: an erase for each tiny chunk would be quadratic
  return progress;
}

Progress ChunkedDecoder::decode(std::string_view buffer, std::size_t& used, std::string& body) {
  for (;;) {
    if (state_ == State::kData) {
      const std::size_t n = std::min(left_, buffer.size() - used);
      body.append(buffer.substr(used, n));
      used += n;
      left_ -= n;
      if (left_ > 0) {
        return Progress::kMore;
      }
      state_ = State::kDataEnd;
      continue;
    }
    const auto end = buffer.find(kLineEnd, used);
    if (end == std::string_view::npos) {
      return buffer.size() - used > kMaxChunkLine ? Progress::kBad : Progress::kMore;
    }
    const std::string_view line = buffer.substr(used, end - used);
    used = end + kLineEnd.size();
    if (line.size() > kMaxChunkLine) {
      return Progress::kBad;
    }
    if (state_ == State::kDataEnd) {
      if (!line.empty()) {
        return Progress::kBad;
      }
      state_ = State::kSize;
    } else if (state_ == State::kTrailer) {
      if (line.empty()) {
        return Progress::kDone;
      }
      if ((trailer_ += line.size()) > kMaxHead) {
        return Progress::kBad;
      }
    } else {
      const std::string_view digits = trim(line.substr(0, line.find(';')));
      std::uint32_t size = 0;
      const auto [stop, error] =
          std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
      if (digits.empty() || error != std::errc{} || stop != digits.data() + digits.size()) {
        return Progress::kBad;
      }
      left_ = size;
      state_ = size > 0 ? State::kData : State::kTrailer;
    }
  }
}

Progress Parser::bad(int status) {
  error_status_ = status;
  return Progress::kBad;
}

Progress Parser::feed(std::string& buffer) {
  const Progress progress = feed_part(buffer);
  if (progress == Progress::kBad || kind_ == Kind::kResponseHead) {
    return progress;
  }
  return length_.value_or(0) > kMaxBody || message_.body.size() > kMaxBody ? bad(413) : progress;
}

Progress Parser::feed_part(std::string& buffer) {
  if (body_ == Body::kUnknown) {
    const Progress head = feed_head(buffer);
    if (head != Progress::kDone || kind_ == Kind::kResponseHead) {
      return head;
    }
  }
  return feed_body(buffer, message_.body);
}

Progress Parser::end() {
  if (body_ == Body::kUntilEnd) {
    return Progress::kDone;
  }
  return bad(400);
}

// Takes the blank lines before a request away. False: there are too many.
bool Parser::skip_blank(std::string& buffer) {
  std::size_t n = 0;
  while (std::string_view(buffer).substr(n).starts_with(kLineEnd)) {
    n += kLineEnd.size();
  }
  buffer.erase(0, n);
  return (blank_ += n) <= kMaxBlank;
}

Progress Parser::feed_head(std::string& buffer) {
  for (;;) {
    if (kind_ == Kind::kRequest && scanned_ == 0 && !skip_blank(buffer)) {
      return bad(400);
    }
    const auto end = buffer.find("\r\n\r\n", scanned_);
    if (end == std::string::npos ? buffer.size() > kMaxHead : end > kMaxHead) {
      return bad(431);
    }
    if (end == std::string::npos) {
      scanned_ =
          buffer.size() - std::min<std::size_t>(buffer.size(), 3);  // the end may be cut in two
      return Progress::kMore;
    }
    scanned_ = 0;
    const std::string head = buffer.substr(0, end);
    buffer.erase(0, end + 4);
    message_ = {};
    std::size_t from = 0;
    for (bool first = true; from <= head.size(); first = false) {
      const std::size_t stop = std::min(head.find(kLineEnd, from), head.size());
      const std::string_view line = std::string_view(head).substr(from, stop - from);
      if (!(first ? start_line(line) : header_line(line))) {
        return Progress::kBad;
      }
      from = stop + kLineEnd.size();
    }
    const bool interim = kind_ != Kind::kRequest && message_.status < 200;
    if (interim && ++interim_ > kMaxInterim) {
      return bad(431);
    }
    if (interim) {
      continue;  // a 100 precedes the real one
    }
    return framing() ? Progress::kDone : Progress::kBad;
  }
}

bool Parser::start_line(std::string_view line) {
  std::string_view version = line;
  if (kind_ == Kind::kRequest) {
    const auto first = line.find(' '), last = line.rfind(' ');
    if (first == std::string_view::npos || first == last) {
      return false;
    }
    message_.method = line.substr(0, first);
    message_.target = line.substr(first + 1, last - first - 1);
    version = line.substr(last + 1);
    // RFC 9112, section 3.2.2: the absolute form names the same as its path.
    constexpr std::string_view kScheme = "http://";
    if (same(std::string_view(message_.target).substr(0, kScheme.size()), kScheme)) {
      const auto path = message_.target.find_first_of("/?", kScheme.size());
      if (path == kScheme.size()) {
        return false;  // no host
      }
      message_.target.erase(0, path);
      if (!message_.target.starts_with('/')) {
        message_.target.insert(0, 1, '/');
      }
    }
    if (!is_token(message_.method) || message_.target[0] != '/' ||
        !printable(message_.target, false) ||
        std::any_of(message_.target.begin(), message_.target.end(),
                    [](char c) { return c & 0x80; })) {
      return false;
    }
  } else {
    const std::string_view code = line.size() >= 12 ? line.substr(9, 3) : std::string_view{};
    const auto status = whole_number(code);
    if (line.size() < 12 || line[8] != ' ' || !status || *status < 100) {
      return false;
    }
    message_.status = static_cast<int>(*status);
    version = line.substr(0, 8);
  }
  if (version.size() != 8 || !version.starts_with("HTTP/")) {
    return false;
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    return bad(505), false;
  }
  message_.minor_version = version[7] - '0';
  return true;
}

bool Parser::header_line(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
    return false;
  }
  const std::string_view value = trim(line.substr(colon + 1));
  if (!printable(value, true)) {
    // Guards against losing a good answer to a load report that cannot be read; framing must be
    // readable.
    const std::string_view name = line.substr(0, colon);
    return kind_ != Kind::kRequest && !same(name, "Content-Length") &&
           !same(name, "Transfer-Encoding");
  }
  message_.headers.fields.emplace_back(line.substr(0, colon), value);
  return true;
}

bool Parser::framing() {
  const std::string* encoding = nullptr;
  std::optional<std::uint64_t> length;
  for (const auto& [name, value] : message_.headers.fields) {
    if (same(name, "Transfer-Encoding")) {
      if (encoding || !same(value, "chunked")) {
        return false;
      }
      encoding = &value;
    } else if (same(name, "Content-Length")) {
      const auto stated = whole_number(value);
      if (!stated || length) {
        return false;
      }
      length = stated;
    }
  }
  if (encoding && length) {
    return false;  // guards against request smuggling
  }
  if (length && *length > kMaxStreamed) {
    return bad(413), false;
  }
  length_ = length;
  body_ = Body::kLength;
  if (encoding) {
    body_ = Body::kChunked;
  }
  if (!encoding && !length && kind_ != Kind::kRequest && message_.status != 204 &&
      message_.status != 304) {
    // Guards against a cut body: only a stated end, or the word that the connection's end is it,
    // proves it whole.
    if (kind_ == Kind::kResponse && !message_.headers.has_token("Connection", "close")) {
      return false;
    }
    body_ = Body::kUntilEnd;
  }
  left_ = length.value_or(0);
  return true;
}

Progress Parser::feed_body(std::string& buffer, std::string& out) {
  Progress progress = Progress::kMore;
  const std::size_t before = out.size();
  if (body_ == Body::kChunked) {
    progress = chunked_.feed(buffer, out);
    if (progress == Progress::kBad) {
      return bad(400);
    }
  } else {
    const std::size_t n = body_ == Body::kLength ? std::min(left_, buffer.size()) : buffer.size();
    out.append(buffer, 0, n);
    buffer.erase(0, n);
    left_ -= body_ == Body::kLength ? n : 0;
    if (body_ == Body::kLength && left_ == 0) {
      progress = Progress::kDone;
    }
  }
  decoded_ += out.size() - before;
  return decoded_ > kMaxStreamed ? bad(413) : progress;
}

namespace {

std::string framing_line(std::optional<std::uint64_t> length) {
  return length ? "Content-Length: " + std::to_string(*length) + "\r\n"
                : "Transfer-Encoding: chunked\r\n";
}

std::string request_start(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view extra) {
  std::string out(method);
  return out.append(" ")
      .append(target)
      .append(" HTTP/1.1\r\nHost: ")
      .append(host)
      .append("\r\n")
      .append(extra);
}

}  // namespace

std::string write_response_head(int status, std::string_view extra,
                                std::optional<std::uint64_t> length, bool close) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " " + phrase(status) + "\r\n";
  out.append(extra);
  out += framing_line(length);
  if (close) {
    out += "Connection: close\r\n";
  }
  return out += kLineEnd;
}

std::string write_chunk(std::string_view bytes) {
  std::array<char, 16> size{};
  const char* const end =
      std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
  std::string out(size.data(), static_cast<std::size_t>(end - size.data()));
  return out.append(kLineEnd).append(bytes).append(kLineEnd);
}

std::string write_response(int status, std::string_view extra, std::string_view body, bool close) {
  return write_response_head(status, extra, body.size(), close).append(body);
}

std::string write_request_head(std::string_view method, std::string_view target,
                               std::string_view host, std::string_view extra,
                               std::optional<std::uint64_t> length) {
  return request_start(method, target, host, extra) + framing_line(length) + std::string(kLineEnd);
}

std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view extra, std::string_view body) {
  std::string out = request_start(method, target, host, extra);
  if (!body.empty() || method == "POST") {
    out += framing_line(body.size());
  }
  out += kLineEnd;
  return out.append(body);
}

}  // namespace beechhill::http
