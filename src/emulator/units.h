/// Conversions between durations and seconds.
#pragma once

#include <chrono>
#include <cmath>

#include "beechhill/balancer.h"

namespace beechhill::emulator {

inline double to_s(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Rounds to the nearest microsecond, where std::chrono::duration_cast truncates.
inline Duration to_duration(double seconds) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Duration(std::llround(seconds * kMicrosecondsPerSecond));
}

}  // namespace beechhill::emulator
