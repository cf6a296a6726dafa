// Counts of requests in flight, and a schedule of checks for silent ones.
#pragma once

#include <cmath>
#include <map>
#include <optional>

#include "balancer/state/request_state.h"
#include "balancer/state/units.h"

namespace beechhill {

/// Counts widths (see RequestState::width) of requests with an attempt in flight.
struct InFlightCounts {
  int running = 0;
  int silent = 0;  // part of `running`
  double mean_running = 0;

  /// Advances the mean by `elapsed_s` seconds with the current count. Its time constant is four
  /// typical latencies.
  void advance(double elapsed_s, double typical_latency_s) {
    const double time_constant_s = kMeanLatencies * typical_latency_s;
    mean_running += (running - mean_running) * (1 - std::exp(-elapsed_s / time_constant_s));
  }

  /// Widths in flight that chance explains at the recent mean when a request of the given width
  /// arrives. A short lull hardly affects the mean.
  double expected_widths(int width) const {
    return mean_running + kDeviations * std::sqrt(width * mean_running) + width;
  }

 private:
  // Time constant of the mean, in typical latencies.
  static constexpr double kMeanLatencies = 4;
  // Deviation from the mean that is attributed to chance, in standard deviations.
  static constexpr double kDeviations = 2;
};

/// Times at which to check whether a request has become silent. Each operation is O(log n).
class SilenceSchedule {
 public:
  void add(Time at, RequestId id) { checks_.emplace(at, id); }

  /// Removes and returns the earliest check that is due. Its request may have ended.
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
