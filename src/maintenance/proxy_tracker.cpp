#include "maintenance/proxy_tracker.h"

#include <algorithm>

namespace beechhill::maintenance {

void ProxyTracker::reset(Time now) {
  leader_since_ = now;
  proxies_.clear();
  counted_.clear();
}

bool ProxyTracker::accepts(const std::string& proxy) const {
  return proxies_.contains(proxy) || proxies_.size() < kMaxProxies;
}

void ProxyTracker::update(Time now, const std::string& proxy, const LeaseRequest& request) {
  ProxyStatus& status = proxies_[proxy];
  if (status.boot_id != request.boot_id) {
    // Keeps the lease's expiry, because a lease of the previous process may still be valid.
    const Time lease_expiry = status.lease_expiry;
    status = ProxyStatus{};
    status.boot_id = request.boot_id;
    status.lease_expiry = lease_expiry;
    counted_.erase(proxy);
  }
  status.acknowledged_index = request.acknowledged_index;
  status.last_request_at = now;
  status.zone = request.zone;
  status.has_discovery_update = request.has_discovery_update;
  status.is_idle = request.is_idle;
  status.is_shutting_down = request.is_shutting_down;
  status.zone_utilization = request.zone_utilization;
  const bool in_order = request.served_requests >= status.served_requests &&
                        request.unserved_requests >= status.unserved_requests;
  if (in_order) {
    status.served_requests = request.served_requests;
    status.unserved_requests = request.unserved_requests;
  }
}

void ProxyTracker::record_grant(Time now, const std::string& proxy) {
  Time& expiry = proxies_[proxy].lease_expiry;
  expiry = std::max(expiry, now + max_lease());
}

AcknowledgedIndexes ProxyTracker::acknowledged_indexes() const {
  AcknowledgedIndexes indexes;
  for (const auto& [proxy, status] : proxies_) {
    indexes[proxy] = status.acknowledged_index;
  }
  return indexes;
}

Time ProxyTracker::lease_expiry(const std::string& proxy) const {
  // Leases granted by earlier leaders are unknown, so the longest possible one is assumed.
  const Time earlier_leases_expiry = leader_since_ + max_lease();
  const auto found = proxies_.find(proxy);
  if (found == proxies_.end()) {
    return earlier_leases_expiry;
  }
  // Includes the lease that may be granted in answer to the proxy's last request.
  const ProxyStatus& status = found->second;
  return std::max(
      {earlier_leases_expiry, status.lease_expiry, status.last_request_at + max_lease()});
}

bool ProxyTracker::is_drained_by_expiry(Time now, const std::string& proxy) const {
  return now >= lease_expiry(proxy) + settings_.drain_grace + settings_.max_request_duration;
}

bool ProxyTracker::has_stopped_serving(Time now, const std::string& proxy) const {
  const auto found = proxies_.find(proxy);
  if (found != proxies_.end() && found->second.is_shutting_down && found->second.is_idle) {
    return true;
  }
  const Duration isolation =
      with_clock_drift(settings_.isolation_timeout) + settings_.max_request_duration;
  return settings_.isolation_timeout > Duration{0} && now >= lease_expiry(proxy) + isolation;
}

ProxyTracker::RequestCounts ProxyTracker::take_request_counts() {
  RequestCounts total;
  for (const auto& [proxy, status] : proxies_) {
    RequestCounts& counted = counted_[proxy];
    total.served += status.served_requests - std::min(status.served_requests, counted.served);
    total.unserved +=
        status.unserved_requests - std::min(status.unserved_requests, counted.unserved);
    counted = {status.served_requests, status.unserved_requests};
  }
  return total;
}

}  // namespace beechhill::maintenance
