// The settings of the maintenance coordinator, derived from the configuration and the operator
// file.
#pragma once

#include "config/config.h"
#include "config/operator_file.h"
#include "maintenance/maintenance_coordinator.h"

namespace beechhill::bootstrap {

/// Returns the coordinator's settings. Lease durations and the disruption budget come from
/// `maintenance`. `config` provides the name, the zone, the longest deadline of any class, and
/// whether the last backend in a zone or cell must be kept because it deduplicates requests with
/// idempotency keys.
maintenance::CoordinatorSettings coordinator_settings(
    const config::Config& config, const config::MaintenanceSettings& maintenance);

}  // namespace beechhill::bootstrap
