// The seeded random numbers of one balancer.
#pragma once

#include <cstdint>
#include <random>

namespace beechhill {

/// All decisions draw from one stream, so the order of the draws is part of the module's behaviour.
/// The standard distributions are not used, as their results differ between libraries.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// Returns a number that is uniformly distributed over [0, 1).
  double uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace beechhill
