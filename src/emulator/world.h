/// The emulated deployment in simulated time: clients, a front-end, proxies with one policy each,
/// tiers of backends, discovery and faults. Single-threaded, without a clock or global state: equal
/// scenarios, seeds and policies give byte-identical results.
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

/// Called about once per simulated second with the completed share of the run, from 0 to 1.
using ProgressCallback = std::function<void(double part)>;

/// A run of a scenario. Owns all of its state.
class World {
 public:
  /// `make_policy` is called each time a proxy starts.
  World(Scenario scenario, PolicyFactory make_policy);
  ~World();

  /// Runs the scenario to its end. Must be called only once.
  void run(const ProgressCallback& progress = {});

  const Scenario& scenario() const;
  const Metrics& metrics() const;
  const RuleChecker& rules() const;
  /// Number of requests still in flight at proxies. It is 0 after a run, unless a policy failed to
  /// answer a request.
  std::size_t requests_in_flight() const;

 private:
  std::unique_ptr<Simulation> simulation_;
};

}  // namespace beechhill::emulator
