#include "http/writer.h"

#include <array>
#include <charconv>
#include <cstddef>

#include "http/syntax.h"

namespace beechhill::http {
namespace {

constexpr int kHexadecimal = 16;

const char* reason_phrase(int status) {
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

std::string framing_header(std::optional<std::uint64_t> length) {
  return length ? "Content-Length: " + std::to_string(*length) + "\r\n"
                : "Transfer-Encoding: chunked\r\n";
}

// Returns the request line, the Host line and `extra_headers`, without the empty line.
std::string begin_request(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view extra_headers) {
  std::string bytes(method);
  bytes.append(" ").append(target).append(" HTTP/1.1\r\n");
  bytes.append("Host: ").append(host).append(kLineEnd);
  bytes.append(extra_headers);
  return bytes;
}

}  // namespace

std::string write_response_head(int status, std::string_view extra_headers,
                                std::optional<std::uint64_t> length, bool close) {
  std::string bytes = "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) + "\r\n";
  bytes.append(extra_headers);
  bytes.append(framing_header(length));
  if (close) {
    bytes.append("Connection: close\r\n");
  }
  bytes.append(kLineEnd);
  return bytes;
}

std::string write_chunk(std::string_view bytes) {
  std::array<char, 2 * sizeof(std::size_t)> digits{};
  char* const end = digits.data() + digits.size();
  const char* const size_end = std::to_chars(digits.data(), end, bytes.size(), kHexadecimal).ptr;
  std::string chunk(digits.data(), static_cast<std::size_t>(size_end - digits.data()));
  chunk.append(kLineEnd).append(bytes).append(kLineEnd);
  return chunk;
}

std::string write_response(int status, std::string_view extra_headers, std::string_view body,
                           bool close) {
  return write_response_head(status, extra_headers, body.size(), close).append(body);
}

std::string write_request_head(std::string_view method, std::string_view target,
                               std::string_view host, std::string_view extra_headers,
                               std::optional<std::uint64_t> length) {
  std::string bytes = begin_request(method, target, host, extra_headers);
  bytes.append(framing_header(length)).append(kLineEnd);
  return bytes;
}

std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view extra_headers, std::string_view body) {
  std::string bytes = begin_request(method, target, host, extra_headers);
  if (!body.empty() || method == "POST") {
    bytes.append(framing_header(body.size()));
  }
  bytes.append(kLineEnd).append(body);
  return bytes;
}

}  // namespace beechhill::http
