// The settings of the maintenance coordinator, derived from the configuration and the operator
// file.
#pragma once

#include "config/config.h"
#include "config/operator_file.h"
#include "maintenance/maintenance_coordinator.h"

namespace beechhill::bootstrap {

/// `maintenance` decides leases and budgets; `config` the name, the zone, the longest deadline of a
/// class, and where a last backend must stay because it deduplicates keyed requests.
maintenance::CoordinatorSettings coordinator_settings(
    const config::Config& config, const config::MaintenanceSettings& maintenance);

}  // namespace beechhill::bootstrap
