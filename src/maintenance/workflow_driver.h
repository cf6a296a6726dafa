// Advances workflows by proposing the leader's commands that follow from the replicated state and
// from the lease requests of the proxies.
#pragma once

#include "maintenance/leader_proposals.h"
#include "maintenance/proxy_tracker.h"

namespace beechhill::maintenance {

/// Proposes the commands that advance workflows. The constructor's arguments must outlive the
/// object.
class WorkflowDriver {
 public:
  WorkflowDriver(const MaintenanceStateMachine& state, const ProxyTracker& proxies, RaftNode& raft,
                 LeaderProposals& proposals)
      : state_(state), proxies_(proxies), raft_(raft), proposals_(proposals) {}

  /// Proposes to commit a proxy's confirmation that it has no requests in flight to a machine.
  void confirm_drained(const std::string& proxy, const DrainConfirmation& confirmation);
  /// Confirms drains on behalf of proxies whose lease expired so long ago that none of their
  /// requests is still in flight.
  void confirm_expired_leases(Time now);
  void remove_stopped_proxies(Time now);
  void continue_readmissions();
  /// Proposes the next commands if no earlier proposal is pending.
  void propose_next_commands();

 private:
  const MaintenanceStateMachine& state_;
  const ProxyTracker& proxies_;
  RaftNode& raft_;
  LeaderProposals& proposals_;
};

}  // namespace beechhill::maintenance
