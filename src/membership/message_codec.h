// Encoding of membership messages. The bytes are a wire format: proxies of different versions run
// beside each other. tests/membership_codec_test.cpp holds golden bytes of each message type.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "membership/message.h"

namespace beechhill::membership {

/// The bytes of `message`, for a payload on Channel::kSwim.
std::string encode(const Message& message);

/// The inverse of encode(). Empty where `bytes` are truncated, have a trailer, or hold an unknown
/// type or state, an update without a name, or more updates or longer texts than are ever sent.
std::optional<Message> decode(std::string_view bytes);

}  // namespace beechhill::membership
