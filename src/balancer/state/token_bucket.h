// A token bucket that is refilled on demand.
#pragma once

#include <algorithm>

#include "balancer/state/units.h"

namespace beechhill {

/// A token bucket, which may hold a fraction of a token. The owner must call fill() before take().
struct TokenBucket {
  double tokens = 0;
  Time filled_at{0};

  /// Adds the tokens accrued since the last call at `rate_per_s`, up to `capacity` tokens.
  void fill(Time now, double rate_per_s, double capacity) {
    tokens = std::min(capacity, tokens + rate_per_s * seconds(now - filled_at));
    filled_at = now;
  }

  /// Takes one token and returns true, or returns false if there is less than one.
  bool take() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
};

}  // namespace beechhill
