// Selects endpoints for health checks, which request a load report, and schedules the checks.
#pragma once

#include "balancer/state/fleet_statistics.h"

namespace beechhill {

/// Keeps references to its arguments. The caller must check that health checks are allowed.
class HealthChecker {
 public:
  HealthChecker(const Settings& settings, const FleetStatistics& statistics,
                EndpointTable& endpoints)
      : settings_(settings), statistics_(statistics), endpoints_(endpoints) {}

  /// Must be called when an attempt starts. Adds the fraction of a check that one attempt allows.
  void add_budget();
  /// Selects an endpoint to check, if the budget allows. O(1), or O(endpoints) in a small fleet.
  std::optional<EndpointId> select(Time now);
  /// Returns the delay until the next check; `random` is in [0, 1).
  Duration interval(double random) const;

 private:
  const Settings& settings_;
  const FleetStatistics& statistics_;
  EndpointTable& endpoints_;
  // Number of checks that may be sent now. With more at the start, many new replicas together would
  // overload the slowest instance type.
  double budget_ = 4;
};

}  // namespace beechhill
