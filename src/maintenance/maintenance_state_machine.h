// The replicated state of maintenance: requests, participating proxies, the observations committed
// by the leader, and the workflow of each machine. Only committed commands change the state, so all
// replicas that applied the same commands hold the same state. Performs no I/O and reads no clock:
// time comes from the commands. docs/design/maintenance.md states the invariants.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "maintenance/command_result.h"
#include "maintenance/maintenance_commands.h"
#include "maintenance/maintenance_model.h"

namespace beechhill::maintenance {

/// Log index acknowledged by each proxy; a proxy that is missing has acknowledged index 0.
using AcknowledgedIndexes = std::map<std::string, LogIndex>;

/// One replica of the state. Not thread-safe. Results depend only on the state and the arguments.
class MaintenanceStateMachine {
 public:
  /// Applies the committed command at `index`, which must increase from call to call.
  CommandResult apply(LogIndex index, const Command& command);

  /// Permissions for the machines of `role` whose workflow has not reached kWarming.
  DispatchPermissionMap dispatch_permissions(Role role) const;

  LogIndex applied_index() const { return applied_index_; }
  /// The latest time of all applied commands.
  Seconds time() const { return time_; }
  /// Requests by request id, and workflows by machine id.
  const std::map<std::string, Request>& requests() const { return requests_; }
  const std::map<std::string, MaintenanceWorkflow>& workflows() const { return workflows_; }
  const std::set<std::string>& proxies() const { return proxies_; }
  const DisruptionBudget& disruption_budget() const { return budget_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  const std::map<std::string, double>& zone_utilization() const { return zone_utilization_; }
  /// Whether an incident or the quiet period after one forbids taking machines out.
  bool paused() const { return time_ < paused_until_; }
  const std::string& incident() const { return incident_; }

  /// Role of the workflow's machine.
  Role role_of(const MaintenanceWorkflow& workflow) const;
  /// Proxies for which the workflow waits: in kAnnounced, those that have not acknowledged the log
  /// index of that state; in later states, those that have not confirmed the drain. The workflow of
  /// a proxy waits for that proxy only.
  std::vector<std::string> awaited_proxies(const MaintenanceWorkflow& workflow,
                                           const AcknowledgedIndexes& acknowledged) const;

  std::string snapshot() const;
  /// Replaces the state with that of a snapshot. Returns false and leaves the state unchanged if
  /// the bytes are not a valid snapshot.
  bool restore(std::string_view bytes);

 private:
  CommandResult submit_request(const Command& command);
  CommandResult change_request(const Command& command);
  CommandResult set_budget(const Command& command);
  CommandResult add_proxy(const std::string& proxy);
  void update_observations(const Command& command);
  void end_completed_requests();
  bool has_work_left(const Request& request) const;

  // Workflow transitions, defined in workflow_transitions.cpp.
  CommandResult announce_drain(const Command& command);
  CommandResult advance_workflow(const Command& command);
  CommandResult mark_out(MaintenanceWorkflow& workflow);
  CommandResult confirm_drained(const Command& command);
  CommandResult change_state(MaintenanceWorkflow& workflow, WorkflowState from, WorkflowState to);
  void complete_workflow(const std::string& machine);
  void abort_drain(const std::string& machine);
  void abort_drains_of(const std::string& request);

  LogIndex applied_index_ = 0;
  Seconds time_ = 0;
  Seconds paused_until_ = 0;
  FencingToken next_fencing_token_ = 1;
  DisruptionBudget budget_;
  std::string incident_;
  std::map<std::string, Request> requests_;
  std::map<std::string, MaintenanceWorkflow> workflows_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, double> zone_utilization_;
  std::set<std::string> proxies_;
};

}  // namespace beechhill::maintenance
