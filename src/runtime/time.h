// Conversions between the steady clock's time points and beechhill::Time.
#pragma once

#include <chrono>

#include "beechhill/balancer.h"
#include "runtime/scheduler.h"

namespace beechhill::runtime {

/// Returns the microseconds from the steady clock's epoch to `at`.
inline Time to_time(TimePoint at) {
  return std::chrono::duration_cast<Time>(at.time_since_epoch());
}

/// The inverse of to_time(), with a resolution of one microsecond.
inline TimePoint to_time_point(Time at) {
  return TimePoint(at);
}

/// Returns the steady clock's current time.
inline Time now() {
  return to_time(Clock::now());
}

}  // namespace beechhill::runtime
