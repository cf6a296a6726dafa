// Status of maintenance for operators, as JSON.
#pragma once

#include <string>

#include "maintenance/maintenance_state_machine.h"

namespace beechhill::maintenance {

/// Reports all requests and workflows or, if `request` is not empty, the request with that id, its
/// workflows and the reasons why it waits. `incident` is the incident that the leader observes now,
/// which may not be committed yet. The text ends with a newline.
std::string status_json(const MaintenanceStateMachine& state,
                        const AcknowledgedIndexes& acknowledged, const std::string& request,
                        const std::string& incident);

}  // namespace beechhill::maintenance
