// Random numbers of the emulator: one PCG stream for each actor, so that one more actor shifts no
// other's.
#pragma once

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>

#include "config/toml_reader.h"

namespace beechhill::emulator {

// Whose stream it is. The numbers are part of every recorded result: add, do not renumber.
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

// Boost's distributions, unlike the standard library's, are one algorithm everywhere.
class Stream {
 public:
  Stream(std::uint64_t seed, Actor actor, std::uint64_t index)
      : engine_(seed, (static_cast<std::uint64_t>(actor) << 40) + index) {}

  double uniform() { return boost::random::uniform_01<double>()(engine_); }  // 0 <= x < 1
  double uniform(config::Range r) { return r.from + (r.to - r.from) * uniform(); }
  std::uint64_t below(std::uint64_t n) {
    return static_cast<std::uint64_t>(uniform() * static_cast<double>(n));
  }
  double exponential(double mean) {
    return boost::random::exponential_distribution<double>(1 / mean)(engine_);
  }
  // Lognormal with that mean and coefficient of variation.
  double lognormal(double mean, double variation) {
    const double s = std::log1p(variation * variation);
    return boost::random::lognormal_distribution<double>(std::log(mean) - s / 2,
                                                         std::sqrt(s))(engine_);
  }
  std::uint64_t bits() { return (static_cast<std::uint64_t>(engine_()) << 32) | engine_(); }

 private:
  pcg32 engine_;
};

}  // namespace beechhill::emulator
