// Schedules the first subscription to discovery, and further ones after failures.
#pragma once

#include <algorithm>

#include "balancer/state/units.h"
#include "beechhill/settings.h"

namespace beechhill {

/// Computes the delays of subscriptions. Adds jitter to all of them, as replicas often start
/// together and see the same outage of discovery. Arguments called `random` are in [0, 1).
class DiscoveryPolling {
 public:
  explicit DiscoveryPolling(const Settings& settings) : settings_(settings) {}

  /// Returns the delay before the first subscription.
  Duration initial_delay(double random) const {
    return from_seconds(random * seconds(settings_.discovery_poll_interval) / kInitialDivisor);
  }

  /// Returns the delay before the next subscription. It grows with the number of consecutive
  /// failures, up to kMaxBackoffSteps, and is less than the poll interval.
  Duration delay_after_failure(double random) {
    failures_ = std::min(failures_ + 1, kMaxBackoffSteps);
    const double wait_s = seconds(settings_.discovery_poll_interval) / kBackoffDivisor * failures_;
    return from_seconds((0.5 + random) * wait_s);
  }

  void record_success() { failures_ = 0; }

 private:
  // Divisor of the poll interval that gives the longest delay before the first subscription.
  static constexpr double kInitialDivisor = 4;
  // The backoff grows in steps of the poll interval divided by this number.
  static constexpr double kBackoffDivisor = 8;
  // Maximum number of steps of the backoff.
  static constexpr int kMaxBackoffSteps = 3;

  const Settings& settings_;
  int failures_ = 0;
};

}  // namespace beechhill
