#include "maintenance/lease_client.h"

#include <algorithm>
#include <iterator>

namespace beechhill::maintenance {
namespace {

// Number of lease requests per lease duration. Several are sent, so that the loss of some does not
// end the lease.
constexpr int kRequestsPerLease = 5;
// Factor by which the rate of lease requests rises while any machine has a workflow. Drains wait
// for the state that each request acknowledges.
constexpr int kDrainingRequestFactor = 4;
// Maximum number of unanswered requests. Beyond it the next request is sent to the leader known to
// raft or, if none is known, to the next voter.
constexpr std::size_t kMaxUnansweredRequests = 2;

}  // namespace

LeaseClient::LeaseClient(Time now, const CoordinatorSettings& settings, std::uint64_t boot_id,
                         std::size_t first_voter)
    : settings_(settings),
      boot_id_(boot_id),
      started_at_(now),
      next_request_at_(now),
      next_voter_(first_voter) {
}

LeaseRequest LeaseClient::next_request(Time now, const LocalView& view, bool has_lost_storage,
                                       const std::string& known_leader) {
  const Duration interval = settings_.lease_duration / kRequestsPerLease;
  next_request_at_ = now + (permissions_.empty() ? interval : interval / kDrainingRequestFactor);
  std::erase_if(outstanding_, [&](const auto& request) {
    return now > request.second + settings_.lease_duration;
  });
  choose_leader(known_leader);

  LeaseRequest request;
  request.number = next_number_++;
  outstanding_[request.number] = now;
  request.boot_id = boot_id_;
  request.acknowledged_index = held_index_;
  request.zone = settings_.zone;
  request.has_discovery_update = view.has_discovery_update;
  request.is_idle = view.is_idle;
  request.is_shutting_down = view.is_shutting_down;
  request.has_lost_storage = has_lost_storage;
  request.served_requests = view.served_requests;
  request.unserved_requests = view.unserved_requests;
  request.zone_utilization = view.zone_utilization;
  request.drained = drain_confirmations(view);
  return request;
}

void LeaseClient::choose_leader(const std::string& known_leader) {
  if (!leader_.empty() && outstanding_.size() <= kMaxUnansweredRequests) {
    return;
  }
  leader_ = settings_.voters[next_voter_++ % settings_.voters.size()];
  if (!known_leader.empty()) {
    leader_ = known_leader;
  }
}

std::vector<DrainConfirmation> LeaseClient::drain_confirmations(const LocalView& view) const {
  std::vector<DrainConfirmation> drained;
  for (const auto& [machine, permission] : permissions_) {
    if (permission.dispatch_forbidden && !view.busy_machines.contains(machine)) {
      drained.push_back({machine, permission.fencing_token});
    }
  }
  if (self_drain_ && view.is_idle) {
    drained.push_back({settings_.self, *self_drain_});
  }
  return drained;
}

void LeaseClient::handle(const LeaseGrant& grant) {
  const auto request = outstanding_.find(grant.number);
  if (request == outstanding_.end() || grant.applied_index < held_index_) {
    return;
  }
  // The lease starts when the request was sent, so that network delay does not extend it.
  lease_expiry_ = std::max(lease_expiry_, request->second + settings_.lease_duration);
  outstanding_.erase(outstanding_.begin(), std::next(request));
  has_held_lease_ = true;
  held_index_ = grant.applied_index;
  permissions_ = grant.backend_permissions;
  const auto own_permission = grant.proxy_permissions.find(settings_.self);
  self_drain_ = std::nullopt;
  if (own_permission != grant.proxy_permissions.end() &&
      own_permission->second.dispatch_forbidden) {
    self_drain_ = own_permission->second.fencing_token;
  }
}

void LeaseClient::handle(Time now, const NotLeader& answer) {
  if (!outstanding_.contains(answer.number)) {
    return;
  }
  const bool is_other_leader = answer.leader != leader_;
  redirect(answer);
  if (!leader_.empty() && is_other_leader) {
    next_request_at_ = now;
  }
}

void LeaseClient::redirect(const NotLeader& answer) {
  outstanding_.erase(answer.number);
  leader_ = answer.leader;
}

Time LeaseClient::serving_permitted_until(Time now) const {
  if (!has_held_lease_) {
    const bool may_serve =
        settings_.serve_without_lease && now >= started_at_ + settings_.initial_lease_timeout;
    return may_serve ? Time::max() : Time::min();
  }
  if (settings_.isolation_timeout <= Duration{0}) {
    return Time::max();
  }
  return lease_expiry_ + settings_.isolation_timeout;
}

Time LeaseClient::dispatch_permitted_until(Time now, const std::string& machine) const {
  const auto permission = permissions_.find(machine);
  if (permission == permissions_.end()) {
    return serving_permitted_until(now);
  }
  if (permission->second.dispatch_forbidden) {
    return Time::min();
  }
  return std::min(lease_expiry_, serving_permitted_until(now));
}

}  // namespace beechhill::maintenance
