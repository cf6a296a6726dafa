// Tracks the state that each proxy reports to the leader in its lease requests, and the time until
// which the proxy's leases may be valid.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "maintenance/coordination_messages.h"
#include "maintenance/coordinator_settings.h"
#include "maintenance/maintenance_state_machine.h"

namespace beechhill::maintenance {

/// State of one proxy, as reported in its last lease request.
struct ProxyStatus {
  std::uint64_t boot_id = 0;
  LogIndex acknowledged_index = 0;
  /// Latest expiry of the leases granted by this leader, allowing for clock drift.
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

/// Holds the status of the proxies that have sent lease requests to this leader. Performs no I/O
/// and reads no clock. `settings` must outlive the object.
class ProxyTracker {
 public:
  explicit ProxyTracker(const CoordinatorSettings& settings) : settings_(settings) {}

  /// Clears all proxies. Must be called when this proxy becomes the leader, at `now`.
  void reset(Time now);

  /// Whether `proxy` is known, or may be added without exceeding kMaxProxies.
  bool accepts(const std::string& proxy) const;
  void update(Time now, const std::string& proxy, const LeaseRequest& request);
  void record_grant(Time now, const std::string& proxy);

  const std::map<std::string, ProxyStatus>& proxies() const { return proxies_; }
  AcknowledgedIndexes acknowledged_indexes() const;

  /// Upper bound of the expiry of any lease that the proxy may hold.
  Time lease_expiry(const std::string& proxy) const;
  /// Whether the proxy's lease expired so long ago that no request sent under it is still in
  /// flight.
  bool is_drained_by_expiry(Time now, const std::string& proxy) const;
  /// Whether the proxy has stopped serving, either at its shutdown or by the isolation timeout.
  bool has_stopped_serving(Time now, const std::string& proxy) const;

  struct RequestCounts {
    std::uint64_t served = 0;
    std::uint64_t unserved = 0;
  };
  /// Returns the numbers of requests that all proxies have reported since the last call.
  RequestCounts take_request_counts();

 private:
  Duration max_lease() const { return with_clock_drift(settings_.lease_duration); }

  const CoordinatorSettings& settings_;
  Time leader_since_{0};
  std::map<std::string, ProxyStatus> proxies_;
  /// Request counts of each proxy at the last call of take_request_counts().
  std::map<std::string, RequestCounts> counted_;
};

}  // namespace beechhill::maintenance
