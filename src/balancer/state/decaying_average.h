// Rate and mean of a stream of values whose weights decay exponentially with age.
#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/state/units.h"

namespace beechhill {

/// O(1) in memory and time. `window_s` is the time constant of the decay in seconds, and must be
/// the same in every call.
class DecayingAverage {
 public:
  void add(Time now, double window_s, double value) {
    const double remaining = decay_factor(now, window_s);
    sum_ = sum_ * remaining + value;
    weight_ = weight_ * remaining + 1;
    updated_at_ = now;
  }

  /// Values per second. Only the time since `started_at` counts, as a new stream's rate would
  /// otherwise be underestimated. That time is taken as at least 1 s, as a first value that comes
  /// at once would otherwise give a rate of thousands.
  double rate_per_s(Time now, double window_s, Time started_at) const {
    const double age_s = std::max(1.0, seconds(now - started_at));
    const double count = weight_ * decay_factor(now, window_s);
    return count / (window_s * (1 - std::exp(-age_s / window_s)));
  }

  /// The mean, computed with one extra value of 0, so that it decays towards 0 without new values.
  double mean(Time now, double window_s) const {
    const double remaining = decay_factor(now, window_s);
    return sum_ * remaining / (weight_ * remaining + 1);
  }

 private:
  double decay_factor(Time now, double window_s) const {
    return std::exp(-seconds(now - updated_at_) / window_s);
  }

  double sum_ = 0;
  double weight_ = 0;
  Time updated_at_{0};
};

}  // namespace beechhill
