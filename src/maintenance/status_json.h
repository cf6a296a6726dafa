// What staff are told of the ledger, as JSON.
#pragma once

#include <map>
#include <string>

#include "maintenance/maintenance_state_machine.h"

namespace beechhill::maintenance {

// All requests and courses; or, where `request` names one, that one and why it does not go on.
// `trouble`: what the one that leads sees now.
std::string status_json(const MaintenanceStateMachine& ledger,
                        const std::map<std::string, LogIndex>& shown, const std::string& request,
                        const std::string& trouble);

}  // namespace beechhill::maintenance
