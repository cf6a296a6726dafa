// Counts of attempts and of failed attempts.
#pragma once

#include <vector>

namespace beechhill {

/// Counts for one request class at one endpoint, or sums of these. Fractional, as they decay.
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
