// The body of the operators' call GET /api/telemetry.
#pragma once

#include <string>
#include <vector>

#include "proxy/telemetry.h"
#include "runtime/pending_reply.h"

namespace beechhill::admin {

/// One line of JSON with its line end. `class_names` are by ClassId; `endpoints` is the complete
/// reply to GetEndpointCounts.
std::string telemetry_json(const proxy::Telemetry& telemetry,
                           const std::vector<std::string>& class_names,
                           const runtime::PendingReply& endpoints);

}  // namespace beechhill::admin
