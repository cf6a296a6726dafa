/// One run of an emulated deployment: its parts, what they share, and the dispatch of events to
/// them. Internal to the emulator; World is its public face.
#pragma once

#include "emulator/backend_fleet.h"
#include "emulator/client_population.h"
#include "emulator/discovery_feed.h"
#include "emulator/event_queue.h"
#include "emulator/fault_injector.h"
#include "emulator/metrics.h"
#include "emulator/network.h"
#include "emulator/policy.h"
#include "emulator/proxy_fleet.h"
#include "emulator/proxy_requests.h"
#include "emulator/rules.h"
#include "emulator/scenario.h"

namespace beechhill::emulator {

/// Each part owns its own state and reaches the others through this. Parts may use only `scenario`
/// while they are constructed. Not copied or moved: the parts refer to it.
struct Simulation {
  Simulation(Scenario played_scenario, PolicyFactory make_policy);
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  /// Sends an event to the part that handles it, or keeps it for a paused proxy.
  void dispatch(const SimulationEvent& event);

  const Scenario scenario;
  Metrics metrics;
  RuleChecker rules;
  EventQueue events;
  /// The simulated time, since the run's beginning.
  Time now{0};
  /// When the run is over: the scenario's length and the time its last requests may take.
  Time end{0};

  Network network;
  ClientPopulation clients;
  ProxyFleet proxies;
  ProxyRequests requests;
  BackendFleet backends;
  DiscoveryFeed discovery;
  FaultInjector faults;

 private:
  void build_fleets();
  void schedule_seconds();
};

}  // namespace beechhill::emulator
