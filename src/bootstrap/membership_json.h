// JSON body of the response to an operator's GET /api/members.
#pragma once

#include <cstdint>
#include <string>

#include "membership/swim_node.h"

namespace beechhill::bootstrap {

/// Returns one line of JSON with a line end: this member (`self`), the other members known to
/// `node`, and the number of datagrams rejected so far. `now` is read from the clock that drives
/// `node`.
std::string membership_json(const membership::SwimNode& node, const std::string& self,
                            std::uint64_t rejected_datagrams, Time now);

}  // namespace beechhill::bootstrap
