// What the leader knows of each proxy by its lease requests, and which leases may still be in
// force.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "maintenance/coordination_messages.h"
#include "maintenance/coordinator_settings.h"
#include "maintenance/maintenance_state_machine.h"

namespace beechhill::maintenance {

struct ProxyStatus {
  std::uint64_t boot_id = 0;
  LogIndex acknowledged_index = 0;
  /// Of the last lease that this leader granted.
  Time lease_expiry{0};
  Time last_request_at{0};
  std::string zone;
  bool has_discovery_update = true;
  bool is_idle = false;
  bool is_shutting_down = false;
  std::map<std::string, double> zone_utilization;
  std::uint64_t served_requests = 0;
  std::uint64_t unserved_requests = 0;
};

/// Free of I/O and clocks. `settings` must outlive it.
class ProxyTracker {
 public:
  explicit ProxyTracker(const CoordinatorSettings& settings) : settings_(settings) {}

  /// Forgets all proxies: this one has become the leader at `now`.
  void reset(Time now);

  /// Whether `proxy` is known or may become so within kMaxProxies.
  bool accepts(const std::string& proxy) const;
  void update(Time now, const std::string& proxy, const LeaseRequest& request);
  void record_grant(Time now, const std::string& proxy);

  const std::map<std::string, ProxyStatus>& proxies() const { return proxies_; }
  AcknowledgedIndexes acknowledged_indexes() const;

  /// Upper bound of the end of any lease that the proxy may hold.
  Time lease_expiry(const std::string& proxy) const;
  /// Whether the proxy's lease ended so long ago that nothing sent under it is in flight any more.
  bool is_drained_by_expiry(Time now, const std::string& proxy) const;
  /// Whether the proxy has stopped serving, by itself at its shutdown or by the isolation timeout.
  bool has_stopped_serving(Time now, const std::string& proxy) const;

  struct RequestCounts {
    std::uint64_t served = 0;
    std::uint64_t unserved = 0;
  };
  /// Requests of all proxies since the last call.
  RequestCounts take_request_counts();

 private:
  Duration max_lease() const { return with_clock_drift(settings_.lease_duration); }

  const CoordinatorSettings& settings_;
  Time leader_since_{0};
  std::map<std::string, ProxyStatus> proxies_;
  /// As of the last take_request_counts().
  std::map<std::string, RequestCounts> counted_;
};

}  // namespace beechhill::maintenance
