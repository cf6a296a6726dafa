/// Random numbers of the emulator: one PCG stream for each actor, so that one more actor does not
/// shift the numbers of another.
#pragma once

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>

#include "config/toml_reader.h"

namespace beechhill::emulator {

/// Whose stream it is. The numbers are part of every recorded result: add, do not renumber.
enum class Actor : std::uint64_t {
  kArrivals = 1,
  kClients,
  kFront,
  kNode,
  kProxy,
  kDiscovery,
  kFaults,
  kPolicy
};

/// The random numbers of one actor. Uses Boost's distributions, which, unlike the standard
/// library's, are one algorithm everywhere.
class Stream {
 public:
  Stream(std::uint64_t seed, Actor actor, std::uint64_t index)
      : engine_(seed, (static_cast<std::uint64_t>(actor) << kActorShift) + index) {}

  /// From 0, inclusive, to 1, exclusive.
  double uniform() { return boost::random::uniform_01<double>()(engine_); }
  double uniform(config::Range range) { return range.from + (range.to - range.from) * uniform(); }
  /// A whole number from 0 to `n` - 1.
  std::uint64_t below(std::uint64_t n) {
    return static_cast<std::uint64_t>(uniform() * static_cast<double>(n));
  }
  double exponential(double mean) {
    return boost::random::exponential_distribution<double>(1 / mean)(engine_);
  }
  /// Lognormal with that mean and coefficient of variation.
  double lognormal(double mean, double variation) {
    const double variance = std::log1p(variation * variation);
    return boost::random::lognormal_distribution<double>(std::log(mean) - variance / 2,
                                                         std::sqrt(variance))(engine_);
  }
  /// 64 random bits.
  std::uint64_t bits() { return (static_cast<std::uint64_t>(engine_()) << 32) | engine_(); }

 private:
  // Streams of one actor are told apart by the bits below.
  static constexpr unsigned kActorShift = 40;

  pcg32 engine_;
};

}  // namespace beechhill::emulator
