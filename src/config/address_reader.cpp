#include "config/address_reader.h"

#include <string>

#include "net/socket.h"

namespace beechhill::config {

sockaddr_in read_address(const Json::Value& object, const char* key) {
  const auto text = get_member<std::string>(object, key);
  const auto address = net::parse_address(text);
  if (!address) {
    throw_json_error(key, "not an IPv4 address with a port: " + text, find_member(object, key));
  }
  return *address;
}

}  // namespace beechhill::config
