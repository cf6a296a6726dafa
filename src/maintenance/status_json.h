// The state of maintenance for operators, as JSON.
#pragma once

#include <string>

#include "maintenance/maintenance_state_machine.h"

namespace beechhill::maintenance {

/// All requests and workflows; or, where `request` is the id of one, that one and why it does not
/// go on. `incident`: what the leader observes now, which may not be committed yet. Ends with a
/// newline.
std::string status_json(const MaintenanceStateMachine& state,
                        const AcknowledgedIndexes& acknowledged, const std::string& request,
                        const std::string& incident);

}  // namespace beechhill::maintenance
