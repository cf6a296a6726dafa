// When to subscribe to discovery, and to subscribe again where that failed.
#pragma once

#include <algorithm>

#include "balancer/state/units.h"
#include "beechhill/settings.h"

namespace beechhill {

/// Replicas often start together, and all meet a discovery that is down: delays are jittered. The
/// `random` values are in [0, 1).
class DiscoveryPolling {
 public:
  explicit DiscoveryPolling(const Settings& settings) : settings_(settings) {}

  Duration initial_delay(double random) const {
    return from_seconds(random * seconds(settings_.discovery_poll_interval) / kInitialDivisor);
  }

  /// Backs off, and stays within the poll interval.
  Duration delay_after_failure(double random) {
    failures_ = std::min(failures_ + 1, kMaxBackoffSteps);
    const double wait_s = seconds(settings_.discovery_poll_interval) / kBackoffDivisor * failures_;
    return from_seconds((0.5 + random) * wait_s);
  }

  void record_success() { failures_ = 0; }

 private:
  // Parts of the poll interval: the latest first subscription, and a step of the backoff.
  static constexpr double kInitialDivisor = 4;
  static constexpr double kBackoffDivisor = 8;
  static constexpr int kMaxBackoffSteps = 3;

  const Settings& settings_;
  int failures_ = 0;
};

}  // namespace beechhill
