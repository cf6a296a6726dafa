// Parsing, formatting and comparison of IPv4 socket addresses.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

namespace beechhill::net {

/// Parses an IPv4 address with a port, such as "127.0.0.1:9000". Returns nullopt if `text` is
/// anything else, such as a host name.
std::optional<sockaddr_in> parse_address(std::string_view text);

/// Formats `address` as accepted by parse_address().
std::string to_string(const sockaddr_in& address);

/// Returns whether `a` and `b` have the same address and port.
bool same_address(const sockaddr_in& a, const sockaddr_in& b);

}  // namespace beechhill::net
