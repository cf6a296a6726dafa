// A token bucket that is filled when it is asked.
#pragma once

#include <algorithm>

#include "balancer/state/units.h"

namespace beechhill {

/// Holds fractional tokens. Does not read a clock: the owner fills it before taking.
struct TokenBucket {
  double tokens = 0;
  Time filled_at{0};

  /// Adds what came since the last call at `rate_per_s`, up to `capacity` tokens.
  void fill(Time now, double rate_per_s, double capacity) {
    tokens = std::min(capacity, tokens + rate_per_s * seconds(now - filled_at));
    filled_at = now;
  }

  /// Takes one token, if there is one.
  bool take() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
};

}  // namespace beechhill
