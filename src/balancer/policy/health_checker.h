// Health checks: which endpoint to ask for a load report, and when.
#pragma once

#include "balancer/state/fleet_statistics.h"

namespace beechhill {

/// Refers to what the balancer owns. Used only where settings allow health checks.
class HealthChecker {
 public:
  HealthChecker(const Settings& settings, const FleetStatistics& statistics,
                EndpointTable& endpoints)
      : settings_(settings), statistics_(statistics), endpoints_(endpoints) {}

  /// Earns a part of a check, whose cost is a small share of that of all attempts.
  void add_budget();
  /// Takes one endpoint to check, if there is budget. O(endpoints) in a small fleet, else O(1).
  std::optional<EndpointId> select(Time now);
  /// How long until the next check; `random` is in [0, 1).
  Duration interval(double random) const;

 private:
  const Settings& settings_;
  const FleetStatistics& statistics_;
  EndpointTable& endpoints_;
  double budget_ = 4;  // checks; more of each new replica would crowd the slowest type
};

}  // namespace beechhill
