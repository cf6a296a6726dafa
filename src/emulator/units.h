// Spans and seconds, both ways.
#pragma once

#include <chrono>
#include <cmath>

#include "beechhill/balancer.h"

namespace beechhill::emulator {

inline double to_s(Duration d) {
  return std::chrono::duration<double>(d).count();
}
// To the nearest microsecond, unlike the module's own, which cuts off.
inline Duration to_span(double s) {
  return Duration(std::llround(s * 1e6));
}

}  // namespace beechhill::emulator
