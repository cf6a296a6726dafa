// The leader's side of leases: queues the requests, and grants them once a leadership check that
// began later has succeeded.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "maintenance/coordination_messages.h"
#include "maintenance/coordinator_settings.h"
#include "maintenance/leadership_check.h"
#include "maintenance/proxy_tracker.h"

namespace beechhill::maintenance {

/// Sends a message to the proxy of that name, which may be this one.
using MessageSender = std::function<void(const std::string& to, CoordinationMessage message)>;

/// What is referred to must outlive it.
class LeaseGranter {
 public:
  LeaseGranter(const CoordinatorSettings& settings, const RaftNode& raft,
               const MaintenanceStateMachine& state_machine, ProxyTracker& proxies,
               MessageSender send);

  /// Forgets what is queued: this proxy has become the leader.
  void reset();
  /// After a pause of the process a round in progress proves nothing.
  void abandon_check() { check_.end(); }
  void enqueue(Time now, const std::string& proxy, std::uint64_t request_number);
  void handle(const std::string& from, const LeadershipConfirmation& confirmation);
  /// Grants what may be granted, and begins or repeats a leadership check for the rest.
  void tick(Time now);

 private:
  struct QueuedRequest {
    std::string proxy;
    std::uint64_t number = 0;
    /// The first round that began after the request.
    std::uint64_t required_round = 0;
  };

  void begin_check(Time now);
  void grant_queued(Time now);

  const CoordinatorSettings& settings_;
  const RaftNode& raft_;
  const MaintenanceStateMachine& state_machine_;
  ProxyTracker& proxies_;
  const MessageSender send_;
  LeadershipCheckRounds check_;
  std::vector<QueuedRequest> queue_;
};

}  // namespace beechhill::maintenance
