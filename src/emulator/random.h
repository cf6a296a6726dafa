/// Random numbers for the emulator. Each actor has its own PCG stream, so that adding an actor does
/// not change the numbers that the others draw.
#pragma once

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>

#include "config/toml_reader.h"

namespace beechhill::emulator {

/// Owner of a random stream. The values are part of every recorded result: append new ones, do not
/// renumber.
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

/// The random numbers of one actor. Uses Boost's distributions, whose algorithms, unlike those of
/// the standard library, are the same on every platform.
class Stream {
 public:
  Stream(std::uint64_t seed, Actor actor, std::uint64_t index)
      : engine_(seed, (static_cast<std::uint64_t>(actor) << kActorShift) + index) {}

  /// Uniformly distributed over [0, 1).
  double uniform() { return boost::random::uniform_01<double>()(engine_); }
  double uniform(config::Range range) { return range.from + (range.to - range.from) * uniform(); }
  /// A uniformly distributed integer from 0 to `n` - 1.
  std::uint64_t below(std::uint64_t n) {
    return static_cast<std::uint64_t>(uniform() * static_cast<double>(n));
  }
  double exponential(double mean) {
    return boost::random::exponential_distribution<double>(1 / mean)(engine_);
  }
  /// Lognormally distributed with the given mean and coefficient of variation.
  double lognormal(double mean, double variation) {
    const double variance = std::log1p(variation * variation);
    return boost::random::lognormal_distribution<double>(std::log(mean) - variance / 2,
                                                         std::sqrt(variance))(engine_);
  }
  std::uint64_t bits() { return (static_cast<std::uint64_t>(engine_()) << 32) | engine_(); }

 private:
  // The bits below this one distinguish the streams of one actor by their index.
  static constexpr unsigned kActorShift = 40;

  pcg32 engine_;
};

}  // namespace beechhill::emulator
