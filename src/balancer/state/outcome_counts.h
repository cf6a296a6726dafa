// Counts of attempts and of those that failed.
#pragma once

#include <vector>

namespace beechhill {

/// Of one request class at one endpoint, or summed. Decays, so both are fractional.
struct OutcomeCounts {
  double attempts = 0;
  double errors = 0;

  OutcomeCounts& operator+=(const OutcomeCounts& other) {
    attempts += other.attempts;
    errors += other.errors;
    return *this;
  }
};

inline OutcomeCounts sum(const std::vector<OutcomeCounts>& counts) {
  OutcomeCounts total;
  for (const OutcomeCounts& part : counts) {
    total += part;
  }
  return total;
}

}  // namespace beechhill
