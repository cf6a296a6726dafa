// Slow start: limits the load of an endpoint that has just started.
#pragma once

#include "balancer/state/endpoint_state.h"
#include "beechhill/settings.h"

namespace beechhill {

/// Keeps a reference to the settings and no other state. Each operation is O(1).
class SlowStart {
 public:
  /// The attempts that one balancer starts, and the number of endpoints that receive them.
  struct Traffic {
    double attempts_per_s = 0;
    double warm_count = 0;
    double up_count = 1;
  };

  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  bool warming_up(const EndpointRecord& record, Time now) const;
  /// The minimum share of its capacity that the endpoint has at `now`, in (0, 1].
  double capacity_share(const EndpointRecord& record, Time now) const;
  /// Refills the budget. Returns whether an attempt may start at the endpoint; true if it is warm.
  bool has_budget(EndpointRecord& record, const Traffic& traffic, Time now) const;

 private:
  const Settings& settings_;
};

}  // namespace beechhill
