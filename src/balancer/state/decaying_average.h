// Rate and mean of a stream of values whose weights decay exponentially with age.
#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/state/units.h"

namespace beechhill {

/// Keeps a decaying sum and count of values; O(1) in memory and time. `window_s` is the time
/// constant of the decay in seconds, and must be the same in every call.
class DecayingAverage {
 public:
  void add(Time now, double window_s, double value) {
    const double remaining = decay_factor(now, window_s);
    sum_ = sum_ * remaining + value;
    weight_ = weight_ * remaining + 1;
    updated_at_ = now;
  }

  /// Returns the rate of values per second. Only the time since `started_at` counts, as the
  /// rate of a new stream would otherwise be underestimated. That time is taken as at least one
  /// second, as an immediate first value would otherwise give a rate of thousands per second.
  double rate_per_s(Time now, double window_s, Time started_at) const {
    const double age_s = std::max(1.0, seconds(now - started_at));
    const double count = weight_ * decay_factor(now, window_s);
    return count / (window_s * (1 - std::exp(-age_s / window_s)));
  }

  /// Returns the mean of the values and one more value of 0, so that the mean decays towards 0
  /// while no value is added.
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
