// Settings of the maintenance coordinator, and what its own proxy observes.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "beechhill/balancer.h"
#include "maintenance/maintenance_model.h"
#include "maintenance/raft_node.h"

namespace beechhill::maintenance {

struct CoordinatorSettings {
  /// Name and zone of this proxy.
  std::string self;
  std::string zone;
  /// Names of 1, 3, 5 or 7 proxies.
  std::vector<std::string> voters;
  /// How long committed state may be relied on without a new lease.
  Duration lease_duration{5'000'000};
  /// A proxy stops serving when it has had no lease for so long; then the others need not wait for
  /// it, nor for an operator to say that it is off. 0: it serves on by what it last knew, and they
  /// wait.
  Duration isolation_timeout{0};
  /// Whether a process that has not held a lease since its start serves all the same after
  /// initial_lease_timeout: a machine that is out may get requests from it.
  bool serve_without_lease = false;
  Duration initial_lease_timeout{5'000'000};
  /// How long a request that was assigned to a machine before it was excluded may still be sent.
  Duration drain_grace{2'000'000};
  /// The longest deadline of any class.
  Duration max_request_duration{10'000'000};
  DisruptionBudget disruption_budget;
  RaftTiming raft_timing;
};

/// The longest that a lease can last by a clock that runs 2 % slow.
constexpr Duration with_clock_drift(Duration duration) {
  return duration + duration / 50;
}

/// What this proxy observes by itself.
struct LocalView {
  /// The endpoint list.
  std::vector<Machine> machines;
  /// From 0 to 1, by the load reports of each zone's backends.
  std::map<std::string, double> zone_utilization;
  /// Requests since the process started.
  std::uint64_t served_requests = 0;
  std::uint64_t unserved_requests = 0;
  /// Excluded machines with requests of this proxy in flight, or excluded for less than the grace.
  std::set<std::string> busy_machines;
  /// It accepts no clients and has nothing in flight.
  bool is_idle = false;
  /// It has an endpoint list.
  bool has_discovery_update = true;
  bool is_shutting_down = false;
};

}  // namespace beechhill::maintenance
