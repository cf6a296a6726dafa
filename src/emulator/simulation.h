/// One run of an emulated deployment: its parts, their shared state, and the dispatch of events.
/// Internal to the emulator; its public interface is World.
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

/// Each part owns its state and accesses the other parts through this struct. While parts are being
/// constructed, they may only use `scenario`. Neither copyable nor movable, because the parts hold
/// references to it.
struct Simulation {
  Simulation(Scenario scenario_to_run, PolicyFactory make_policy);
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  /// Passes an event to the part that handles it, or defers it if it is for a paused proxy.
  void dispatch(const SimulationEvent& event);

  const Scenario scenario;
  Metrics metrics;
  RuleChecker rules;
  EventQueue events;
  /// The simulated time since the start of the run.
  Time now{0};
  /// The end of the run: the scenario's length plus the maximum duration of its last requests.
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
