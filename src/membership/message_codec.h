// The wire format of membership messages. It must stay compatible, since proxies of different
// versions run in the same cluster. tests/membership_codec_test.cpp checks it against golden bytes
// for each message type.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "membership/message.h"

namespace beechhill::membership {

/// Returns the encoded `message`, to be sent as a payload on Channel::kSwim.
std::string encode(const Message& message);

/// The inverse of encode(). Returns nothing if `bytes` are truncated, have trailing bytes, or
/// contain an unknown type or state, an update without a name, too many updates or an overlong
/// string.
std::optional<Message> decode(std::string_view bytes);

}  // namespace beechhill::membership
