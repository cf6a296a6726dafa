// Serialization of HTTP/1.1 messages. Performs no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace beechhill::http {

// Common parameters: `extra_headers` is a sequence of header lines, each ending with CRLF. `length`
// is the body's size in bytes; nullopt selects the chunked transfer coding.

/// Returns the head of a response, to be followed by the body. `close` adds "Connection: close".
std::string write_response_head(int status, std::string_view extra_headers,
                                std::optional<std::uint64_t> length, bool close);
/// Encodes `bytes` as one chunk. Empty `bytes` yield the chunk that ends the body.
std::string write_chunk(std::string_view bytes);
/// Returns a response with its body. `close` adds "Connection: close".
std::string write_response(int status, std::string_view extra_headers, std::string_view body,
                           bool close);
/// Returns the head of a request, to be followed by the body.
std::string write_request_head(std::string_view method, std::string_view target,
                               std::string_view host, std::string_view extra_headers,
                               std::optional<std::uint64_t> length);
/// Returns a request with its body. Content-Length is written if the body is not empty or the
/// method is POST.
std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view extra_headers, std::string_view body);

}  // namespace beechhill::http
