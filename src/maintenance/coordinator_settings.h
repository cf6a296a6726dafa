// Settings of the maintenance coordinator, and the local observations that its proxy provides.
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
  /// Names of the voters: 1, 3, 5 or 7 proxies.
  std::vector<std::string> voters;
  /// How long a proxy may rely on committed state without renewing its lease.
  Duration lease_duration{5'000'000};
  /// Time after the expiry of its lease at which a proxy stops serving, so that drains need not
  /// wait for it. With 0, an isolated proxy continues to serve with the permissions that it last
  /// received, and announced drains wait until it renews its lease or an operator removes it.
  Duration isolation_timeout{0};
  /// Whether a process that has not yet held a lease serves after initial_lease_timeout. Machines
  /// that are out may then receive requests from that process.
  bool serve_without_lease = false;
  Duration initial_lease_timeout{5'000'000};
  /// Time after the exclusion of a machine during which requests that were assigned to the machine
  /// earlier may still be sent.
  Duration drain_grace{2'000'000};
  /// The longest request deadline of any class.
  Duration max_request_duration{10'000'000};
  DisruptionBudget disruption_budget;
  RaftTiming raft_timing;
};

/// Upper bound of the true length of a period that is measured with a clock up to 2 % slow.
constexpr Duration with_clock_drift(Duration duration) {
  return duration + duration / 50;
}

/// State that this proxy observes locally.
struct LocalView {
  /// Machines of the endpoint list.
  std::vector<Machine> machines;
  /// Utilization from 0 to 1, from the load reports of each zone's backends.
  std::map<std::string, double> zone_utilization;
  /// Numbers of requests since the process started.
  std::uint64_t served_requests = 0;
  std::uint64_t unserved_requests = 0;
  /// Excluded machines to which this proxy has requests in flight, or that were excluded less than
  /// the drain grace period ago.
  std::set<std::string> busy_machines;
  /// Whether the proxy accepts no clients and has no requests in flight.
  bool is_idle = false;
  /// Whether the proxy has received an endpoint list.
  bool has_discovery_update = true;
  bool is_shutting_down = false;
};

}  // namespace beechhill::maintenance
