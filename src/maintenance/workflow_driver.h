// Moves workflows on: the leader's commands that follow from the replicated state and from what it
// knows of the proxies.
#pragma once

#include "maintenance/leader_proposals.h"
#include "maintenance/proxy_tracker.h"

namespace beechhill::maintenance {

/// What is referred to must outlive it.
class WorkflowDriver {
 public:
  WorkflowDriver(const MaintenanceStateMachine& state, const ProxyTracker& proxies, RaftNode& raft,
                 LeaderProposals& proposals)
      : state_(state), proxies_(proxies), raft_(raft), proposals_(proposals) {}

  /// Records a proxy's confirmation that it has nothing in flight to a machine.
  void confirm_drained(const std::string& proxy, const DrainConfirmation& confirmation);
  /// Confirms on behalf of proxies whose lease has run out.
  void confirm_expired_leases(Time now);
  void remove_stopped_proxies(Time now);
  void continue_readmissions();
  /// Proposes the next commands, once everything proposed before is decided.
  void propose_next_commands();

 private:
  const MaintenanceStateMachine& state_;
  const ProxyTracker& proxies_;
  RaftNode& raft_;
  LeaderProposals& proposals_;
};

}  // namespace beechhill::maintenance
