// IPv4 socket addresses as text.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

namespace beechhill::net {

/// Reads an address such as "127.0.0.1:9000". Empty where `text` is not an IPv4 address and a port.
std::optional<sockaddr_in> parse_address(std::string_view text);

/// The inverse of parse_address().
std::string to_string(const sockaddr_in& address);

/// Whether address and port are equal.
bool same(const sockaddr_in& a, const sockaddr_in& b);

}  // namespace beechhill::net
