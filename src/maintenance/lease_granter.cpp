#include "maintenance/lease_granter.h"

#include <utility>

namespace beechhill::maintenance {
namespace {

// Time after which a check without a majority is repeated, in heartbeat intervals.
constexpr int kCheckTimeoutHeartbeats = 3;
// Maximum number of queued lease requests. Beyond it the oldest is dropped; its proxy sends another
// request anyway.
constexpr std::size_t kMaxQueuedRequests = 2 * kMaxProxies;

}  // namespace

LeaseGranter::LeaseGranter(const CoordinatorSettings& settings, const RaftNode& raft,
                           const MaintenanceStateMachine& state_machine, ProxyTracker& proxies,
                           MessageSender send)
    : settings_(settings),
      raft_(raft),
      state_machine_(state_machine),
      proxies_(proxies),
      send_(std::move(send)),
      check_(settings.self, kCheckTimeoutHeartbeats * settings.raft_timing.heartbeat_interval) {
}

void LeaseGranter::reset() {
  queue_.clear();
  check_.end();
}

void LeaseGranter::enqueue(Time now, const std::string& proxy, std::uint64_t request_number) {
  queue_.push_back({proxy, request_number, check_.round() + 1});
  if (queue_.size() > kMaxQueuedRequests) {
    queue_.erase(queue_.begin());
  }
  begin_check(now);
}

void LeaseGranter::begin_check(Time now) {
  if (check_.in_progress() || queue_.empty()) {
    return;
  }
  check_.begin(now);
  for (const Voter& voter : raft_.voters()) {
    if (voter.name != settings_.self) {
      send_(voter.name, LeadershipCheck{raft_.term(), check_.round()});
    }
  }
}

void LeaseGranter::handle(const std::string& from, const LeadershipConfirmation& confirmation) {
  if (confirmation.term == raft_.term()) {
    check_.confirm(from, confirmation.round);
  }
}

void LeaseGranter::tick(Time now) {
  if (check_.in_progress() && check_.has_majority(raft_.voters())) {
    check_.end();
    grant_queued(now);
  } else if (check_.timed_out(now)) {
    check_.end();
  }
  begin_check(now);
}

void LeaseGranter::grant_queued(Time now) {
  const auto backend_permissions = state_machine_.dispatch_permissions(Role::kBackend);
  const auto proxy_permissions = state_machine_.dispatch_permissions(Role::kProxy);
  std::vector<QueuedRequest> later;
  for (QueuedRequest& request : std::exchange(queue_, {})) {
    if (request.required_round > check_.round()) {
      later.push_back(std::move(request));
      continue;
    }
    proxies_.record_grant(now, request.proxy);
    send_(request.proxy, LeaseGrant{request.number, state_machine_.applied_index(),
                                    backend_permissions, proxy_permissions});
  }
  queue_ = std::move(later);
}

}  // namespace beechhill::maintenance
