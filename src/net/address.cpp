#include "net/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <system_error>

namespace beechhill::net {

std::optional<sockaddr_in> parse_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string host(text.substr(0, colon));
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (error != std::errc{} || end != digits.data() + digits.size() ||
      ::inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

std::string to_string(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> host{};
  ::inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
  return std::string(host.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

bool same_address(const sockaddr_in& a, const sockaddr_in& b) {
  return a.sin_addr.s_addr == b.sin_addr.s_addr && a.sin_port == b.sin_port;
}

}  // namespace beechhill::net
