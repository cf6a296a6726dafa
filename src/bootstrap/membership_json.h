// The body of the operators' call GET /api/members.
#pragma once

#include <cstdint>
#include <string>

#include "membership/swim_node.h"

namespace beechhill::bootstrap {

/// One line of JSON with its line end: this member `self`, the others as `node` holds them, and how
/// many datagrams were rejected so far. `now` is the time of the clock that `node` is driven by.
std::string membership_json(const membership::SwimNode& node, const std::string& self,
                            std::uint64_t rejected_datagrams, Time now);

}  // namespace beechhill::bootstrap
