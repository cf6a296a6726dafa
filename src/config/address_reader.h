// Reads socket addresses from JSON.
#pragma once

#include <netinet/in.h>

#include "config/json.h"

namespace beechhill::config {

/// Returns the member `key` of `object`, which must be an IPv4 address with a port such as
/// "127.0.0.1:80". Throws JsonError.
sockaddr_in read_address(const Json::Value& object, const char* key);

}  // namespace beechhill::config
