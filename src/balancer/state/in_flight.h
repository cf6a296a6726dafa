// Counts of requests in flight, and a schedule of checks for silent ones, which have been in flight
// unusually long without an outcome.
#pragma once

#include <cmath>
#include <map>
#include <optional>

#include "balancer/state/request_state.h"
#include "balancer/state/units.h"

namespace beechhill {

/// Sums of the widths (see RequestState::width) of requests with an attempt in flight.
struct InFlightCounts {
  int running = 0;
  int silent = 0;           // the part of `running` that silent requests account for
  double mean_running = 0;  // moving average of `running`

  /// Advances the mean by `elapsed_s` seconds in which `running` was constant. Its time constant is
  /// four typical latencies, so a short lull hardly affects it.
  void advance(double elapsed_s, double typical_latency_s) {
    const double time_constant_s = kMeanLatencies * typical_latency_s;
    mean_running += (running - mean_running) * (1 - std::exp(-elapsed_s / time_constant_s));
  }

  /// Returns the mean plus kDeviations standard deviations plus `width`, the width of an arriving
  /// request. Up to this number, widths in flight are attributed to random variation.
  double expected_widths(int width) const {
    return mean_running + kDeviations * std::sqrt(width * mean_running) + width;
  }

 private:
  // Time constant of the mean, in typical latencies.
  static constexpr double kMeanLatencies = 4;
  // Number of standard deviations from the mean that are attributed to random variation.
  static constexpr double kDeviations = 2;
};

/// Times at which to check whether a request has become silent. Each operation is O(log n).
class SilenceSchedule {
 public:
  void add(Time at, RequestId id) { checks_.emplace(at, id); }

  /// Removes the earliest check that is due and returns its request, which may have ended.
  std::optional<RequestId> pop_due(Time now) {
    if (checks_.empty() || checks_.begin()->first > now) {
      return std::nullopt;
    }
    return checks_.extract(checks_.begin()).mapped();
  }

 private:
  std::multimap<Time, RequestId> checks_;
};

}  // namespace beechhill
