// Membership's messages as bytes. What was damaged or is of another form is no message.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "membership/swim_node.h"

namespace beechhill::membership {

std::string encode(const Message& message);
std::optional<Message> decode(std::string_view bytes);

}  // namespace beechhill::membership
