// Socket addresses in JSON.
#pragma once

#include <netinet/in.h>

#include "config/json.h"

namespace beechhill::config {

/// The member `key` of `object`, an IPv4 address and a port such as "127.0.0.1:80". Throws
/// JsonError.
sockaddr_in read_address(const Json::Value& object, const char* key);

}  // namespace beechhill::config
