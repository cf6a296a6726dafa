// Unit conversions and constants shared by the decision module's classes.
#pragma once

#include <cstdint>

#include "beechhill/types.h"

namespace beechhill {

/// Stands for no limit. It is above any concurrency limit (widths), load (requests) and latency
/// (seconds).
inline constexpr double kUnlimited = 1e9;

inline double seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Rounds towards zero to whole microseconds.
inline Duration from_seconds(double value) {
  return Duration(static_cast<std::int64_t>(value * 1e6));
}

/// The finalizer of splitmix64 (Steele, Lea and Flood, 2014): maps small integers to well-mixed
/// 64-bit values.
inline std::uint64_t mix_bits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace beechhill
