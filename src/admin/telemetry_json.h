// JSON body of the response to an operator's GET /api/telemetry.
#pragma once

#include <string>
#include <vector>

#include "proxy/buffer_budget.h"
#include "proxy/telemetry.h"
#include "proxy/trace_id_table.h"
#include "runtime/pending_reply.h"

namespace beechhill::admin {

/// Returns one line of JSON with a line end. `class_names` is indexed by ClassId; `endpoints` is
/// the completed reply to GetEndpointCounts.
std::string telemetry_json(const proxy::Telemetry& telemetry, const proxy::BufferBudget& buffers,
                           const proxy::TraceIdTable::Counts& trace_ids,
                           const std::vector<std::string>& class_names,
                           const runtime::PendingReply& endpoints);

}  // namespace beechhill::admin
