// Conversions between the steady clock and beechhill::Time.
#pragma once

#include <chrono>

#include "beechhill/balancer.h"
#include "runtime/scheduler.h"

namespace beechhill::runtime {

/// Microseconds since the steady clock's epoch.
inline Time to_time(TimePoint at) {
  return std::chrono::duration_cast<Time>(at.time_since_epoch());
}

/// The inverse of to_time(), to the microsecond.
inline TimePoint to_point(Time at) {
  return TimePoint(at);
}

/// The steady clock's reading.
inline Time now() {
  return to_time(Clock::now());
}

}  // namespace beechhill::runtime
