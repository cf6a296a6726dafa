// Duties of the leader beyond raft: grants leases, reports observations and drives workflows.
#pragma once

#include <functional>
#include <string>

#include "maintenance/lease_granter.h"
#include "maintenance/observation_reporter.h"
#include "maintenance/workflow_driver.h"

namespace beechhill::maintenance {

/// Holds the state of the leader's duties. Exists on every voter and does nothing while another
/// voter leads. The constructor's arguments must outlive the object.
class MaintenanceLeader {
 public:
  MaintenanceLeader(const CoordinatorSettings& settings, RaftNode& raft,
                    const MaintenanceStateMachine& state_machine,
                    std::function<Seconds()> unix_time, MessageSender send);

  void tick(Time now, const LocalView& view);
  void on_resume() { leases_.abandon_check(); }

  /// Whether this voter leads and has applied a command of its own term, and with it every earlier
  /// command.
  bool is_ready() const { return raft_.is_leader() && ready_; }
  /// Handles a lease request. Must be called only if is_ready().
  void handle(Time now, const std::string& from, const LeaseRequest& request);
  void handle(const std::string& from, const LeadershipConfirmation& confirmation);

  AcknowledgedIndexes acknowledged_indexes() const { return proxies_.acknowledged_indexes(); }
  const std::string& incident() const { return observations_.incident(); }

 private:
  void become_leader(Time now);
  void readmit(const std::string& voter);

  const CoordinatorSettings& settings_;
  RaftNode& raft_;
  const MaintenanceStateMachine& state_machine_;
  const MessageSender send_;
  ProxyTracker proxies_;
  LeaderProposals proposals_;
  LeaseGranter leases_;
  ObservationReporter observations_;
  WorkflowDriver workflows_;
  bool leading_ = false;
  bool ready_ = false;
};

}  // namespace beechhill::maintenance
