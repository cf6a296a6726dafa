// The concurrency limit: how many widths may be in flight. Adapts to outcomes (AIMD).
#pragma once

#include "balancer/state/in_flight.h"
#include "balancer/state/latency_tracker.h"

namespace beechhill {

/// Counts widths: 1 for an idempotent request, 2 for any other. Each operation is O(1).
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const Settings& settings, const LatencyTracker& latencies,
                   const InFlightCounts& in_flight)
      : settings_(settings), latencies_(latencies), in_flight_(in_flight) {}

  double value() const { return limit_; }
  /// Whether a request of the given width may be sent now.
  bool fits(int width) const;
  /// Updates the overrun for `elapsed_s` seconds with the current requests in flight.
  void advance(double elapsed_s);
  /// When the request's last attempt becomes silent. `state` must have an attempt.
  Time silent_at(const RequestState& state) const;
  /// Adjusts the limit to an outcome of `state`, which is no longer in flight. `latency_penalty` is
  /// that of its endpoint, `up_count` the number of endpoints that are up.
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
  double overrun_ = 0;  // excess over the limit, in widths times seconds
};

}  // namespace beechhill
