/// The emulated deployment in simulated time: clients, a front, proxies with a policy each, tiers
/// of backends, a discovery feed, and faults. One thread, no clock, no global state: equal
/// scenarios, seeds and policies give equal runs, byte for byte.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "emulator/metrics.h"
#include "emulator/policy.h"
#include "emulator/rules.h"
#include "emulator/scenario.h"

namespace beechhill::emulator {

struct Simulation;

/// Called about once a simulated second with the part of the run that is done, from 0 to 1.
using ProgressCallback = std::function<void(double part)>;

/// A run of a scenario. Owns all that belongs to it.
class World {
 public:
  /// `make_policy` is called whenever a proxy starts.
  World(Scenario scenario, PolicyFactory make_policy);
  ~World();

  /// Plays the scenario to its end. May be called once only.
  void run(const ProgressCallback& progress = {});

  const Scenario& scenario() const;
  const Metrics& metrics() const;
  const RuleChecker& rules() const;
  /// Requests that are still in flight at a proxy. 0 after a run, unless a policy lost one.
  std::size_t left_over() const;

 private:
  std::unique_ptr<Simulation> simulation_;
};

}  // namespace beechhill::emulator
