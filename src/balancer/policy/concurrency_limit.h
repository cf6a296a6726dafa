// The concurrency limit: the maximum sum of widths in flight. It adapts to outcomes (AIMD).
#pragma once

#include "balancer/state/in_flight.h"
#include "balancer/state/latency_tracker.h"

namespace beechhill {

/// Counts each idempotent request with a width of 1 and any other with 2. Operations are O(1).
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const Settings& settings, const LatencyTracker& latencies,
                   const InFlightCounts& in_flight)
      : settings_(settings), latencies_(latencies), in_flight_(in_flight) {}

  double value() const { return limit_; }
  /// Returns whether a request of the given width may be sent now.
  bool fits(int width) const;
  /// Updates the overrun for `elapsed_s` seconds in which the widths in flight were constant.
  void advance(double elapsed_s);
  /// Returns when the last attempt of `state`, which must have one, counts as silent.
  Time silent_at(const RequestState& state) const;
  /// Adjusts the limit to an outcome of `state`, which must no longer be in flight.
  /// `latency_penalty` is that of its endpoint, `up_count` the number of endpoints that are up.
  void adjust(const RequestState& state, Result result, double latency_s, double latency_penalty,
              double up_count);

 private:
  double counted_widths() const;
  double scale() const;
  Duration objective(const RequestState& state) const {
    return latency_objective(settings_.classes[state.request.class_id], state.request);
  }

  const Settings& settings_;
  const LatencyTracker& latencies_;
  const InFlightCounts& in_flight_;
  double limit_ = kUnlimited;
  double overrun_ = 0;  // time integral of the excess over the limit, in widths times seconds
};

}  // namespace beechhill
