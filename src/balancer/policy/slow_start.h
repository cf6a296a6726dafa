// Slow start: limits the load of an endpoint that has just started.
#pragma once

#include "balancer/state/endpoint_state.h"
#include "beechhill/settings.h"

namespace beechhill {

/// Computes the load limits. Keeps only a reference to the settings. Each operation is O(1).
class SlowStart {
 public:
  /// One balancer's attempt rate, and its numbers of endpoints past slow start and endpoints up.
  struct Traffic {
    double attempts_per_s = 0;
    double warm_count = 0;
    double up_count = 1;
  };

  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  bool warming_up(const EndpointRecord& record, Time now) const;
  /// Returns the minimum share of its capacity that the endpoint has at `now`, in (0, 1].
  double capacity_share(const EndpointRecord& record, Time now) const;
  /// Refills the endpoint's budget. Returns whether it allows an attempt; true after slow start.
  bool has_budget(EndpointRecord& record, const Traffic& traffic, Time now) const;

 private:
  const Settings& settings_;
};

}  // namespace beechhill
