// How many requests are in flight, and which of them to look at for silence.
#pragma once

#include <cmath>
#include <map>
#include <optional>

#include "balancer/state/request_state.h"
#include "balancer/state/units.h"

namespace beechhill {

/// Counts widths (see RequestState::width) of requests that were sent and have no outcome yet.
struct InFlightCounts {
  int running = 0;
  int silent = 0;  // of those running
  double mean_running = 0;

  /// Moves the mean by `elapsed_s` seconds of what ran; its time constant is four typical
  /// latencies.
  void advance(double elapsed_s, double typical_latency_s) {
    const double time_constant_s = kMeanLatencies * typical_latency_s;
    mean_running += (running - mean_running) * (1 - std::exp(-elapsed_s / time_constant_s));
  }

  /// What may run by chance at the recent mean when a request of that width comes: a lull does not
  /// make it look small.
  double usual_widths(int width) const {
    return mean_running + kDeviations * std::sqrt(width * mean_running) + width;
  }

 private:
  // Typical latencies over which the mean is taken.
  static constexpr double kMeanLatencies = 4;
  // Standard deviations that count as chance.
  static constexpr double kDeviations = 2;
};

/// When to look whether a request has been silent for too long. O(log n) for each operation.
class SilenceSchedule {
 public:
  void add(Time at, RequestId id) { checks_.emplace(at, id); }

  /// Removes and returns the earliest check that is due. The request may be over by then.
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
