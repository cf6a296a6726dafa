// The bytes of HTTP/1.1 messages to send. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace beechhill::http {

// In all of these, `extra_headers` holds further header lines, each with its line end, and an
// absent `length` means that the body is chunked.

/// The head of a response whose body follows. `close`: it is the connection's last.
std::string write_response_head(int status, std::string_view extra_headers,
                                std::optional<std::uint64_t> length, bool close);
/// One chunk of a body; an empty one ends the body.
std::string write_chunk(std::string_view bytes);
/// A complete response. `close`: it is the connection's last.
std::string write_response(int status, std::string_view extra_headers, std::string_view body,
                           bool close);
/// The head of a request whose body follows.
std::string write_request_head(std::string_view method, std::string_view target,
                               std::string_view host, std::string_view extra_headers,
                               std::optional<std::uint64_t> length);
/// A complete request. It states a length where it has a body, or is a POST.
std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          std::string_view extra_headers, std::string_view body);

}  // namespace beechhill::http
