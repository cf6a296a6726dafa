// The concurrency limit: how many widths may be in flight. Learnt from outcomes (AIMD).
#pragma once

#include "balancer/state/in_flight.h"
#include "balancer/state/latency_tracker.h"

namespace beechhill {

/// In widths: 1 for an idempotent request, else 2. Each operation is O(1).
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const Settings& settings, const LatencyTracker& latencies,
                   const InFlightCounts& in_flight)
      : settings_(settings), latencies_(latencies), in_flight_(in_flight) {}

  double value() const { return limit_; }
  /// Whether a request of that width may be sent now.
  bool fits(int width) const;
  /// Accounts for `elapsed_s` seconds with what is in flight.
  void advance(double elapsed_s);
  /// When the request's last attempt counts as silent. `state` has an attempt.
  Time silent_at(const RequestState& state) const;
  /// Learns from an outcome of `state`, which is no longer in flight. `latency_penalty` is the
  /// endpoint's, `up_count` the number of endpoints.
  void adjust(const RequestState& state, Result result, double latency_s, double latency_penalty,
              double up_count);

 private:
  double counted_widths() const;
  double step() const;
  Duration objective(const RequestState& state) const {
    return latency_objective(settings_.classes[state.request.class_id], state.request);
  }

  const Settings& settings_;
  const LatencyTracker& latencies_;
  const InFlightCounts& in_flight_;
  double limit_ = kUnlimited;
  double overrun_ = 0;  // widths over the limit times seconds
};

}  // namespace beechhill
