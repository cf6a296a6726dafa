// Leader's side of leases: queues lease requests and grants each of them once a leadership check
// that began after its arrival has succeeded.
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

/// Sends a message to the proxy with the given name, which may be this proxy.
using MessageSender = std::function<void(const std::string& to, CoordinationMessage message)>;

/// Holds the queue of lease requests and runs leadership checks for them. The constructor's
/// arguments must outlive the object.
class LeaseGranter {
 public:
  LeaseGranter(const CoordinatorSettings& settings, const RaftNode& raft,
               const MaintenanceStateMachine& state_machine, ProxyTracker& proxies,
               MessageSender send);

  /// Clears the queue and abandons the check in progress. Must be called when this proxy becomes
  /// the leader.
  void reset();
  /// Abandons the check in progress. Must be called when the process resumes after a suspension,
  /// because confirmations from before it do not show that this voter still is the leader.
  void abandon_check() { check_.end(); }
  void enqueue(Time now, const std::string& proxy, std::uint64_t request_number);
  void handle(const std::string& from, const LeadershipConfirmation& confirmation);
  /// Grants the requests whose check has succeeded, and begins or repeats a check for the others.
  void tick(Time now);

 private:
  struct QueuedRequest {
    std::string proxy;
    std::uint64_t number = 0;
    /// Number of the first round that begins after the request has arrived.
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
