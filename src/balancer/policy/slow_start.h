// Slow start: how much an endpoint that has just started may get.
#pragma once

#include "balancer/state/endpoint_state.h"
#include "beechhill/settings.h"

namespace beechhill {

/// Refers to the settings, keeps nothing else. Each operation is O(1).
class SlowStart {
 public:
  /// What one balancer sends, and to how many.
  struct Traffic {
    double attempts_per_s = 0;
    double warm_count = 0;
    double up_count = 1;
  };

  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  bool warming_up(const EndpointRecord& record, Time now) const;
  /// The least share of its capacity that an endpoint has by now, in (0, 1].
  double capacity_share(const EndpointRecord& record, Time now) const;
  /// Whether one more attempt may start there: always, where it is warm. Fills its budget.
  bool has_budget(EndpointRecord& record, const Traffic& traffic, Time now) const;

 private:
  const Settings& settings_;
};

}  // namespace beechhill
