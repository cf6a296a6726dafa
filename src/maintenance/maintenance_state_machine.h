// The replicated state of maintenance: requests, the proxies that take part, the observations that
// the leader committed, and the workflow of each machine. Changed by committed commands alone, so
// that all replicas that applied the same commands hold the same state. Free of I/O and clocks: its
// time is that of the commands. docs/design/maintenance.md gives the invariants.
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

/// For each proxy, the log index that it has acknowledged; 0 for one that is missing.
using AcknowledgedIndexes = std::map<std::string, LogIndex>;

/// Not thread-safe. Every operation is a pure function of the state and its arguments.
class MaintenanceStateMachine {
 public:
  /// Applies the committed command at `index`, which grows by one or more from call to call.
  CommandResult apply(LogIndex index, const Command& command);

  /// Permissions of the machines of `role` that have a workflow before kWarming.
  DispatchPermissionMap dispatch_permissions(Role role) const;

  LogIndex applied_index() const { return applied_index_; }
  /// The latest time of any command.
  Seconds time() const { return time_; }
  /// Requests and workflows by request id and by machine id.
  const std::map<std::string, Request>& requests() const { return requests_; }
  const std::map<std::string, MaintenanceWorkflow>& workflows() const { return workflows_; }
  const std::set<std::string>& proxies() const { return proxies_; }
  const DisruptionBudget& disruption_budget() const { return budget_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  const std::map<std::string, double>& zone_utilization() const { return zone_utilization_; }
  /// During an incident and its quiet period no machine is taken out.
  bool paused() const { return time_ < paused_until_; }
  const std::string& incident() const { return incident_; }

  /// Of the machine that the workflow is about.
  Role role_of(const MaintenanceWorkflow& workflow) const;
  /// Proxies that the workflow waits for: in kAnnounced those that have not acknowledged its index,
  /// later those that have not confirmed the drain.
  std::vector<std::string> awaited_proxies(const MaintenanceWorkflow& workflow,
                                           const AcknowledgedIndexes& acknowledged) const;

  std::string snapshot() const;
  /// Replaces the state by that of a snapshot. False, with the state unchanged, where the bytes are
  /// none.
  bool restore(std::string_view bytes);

 private:
  CommandResult submit_request(const Command& command);
  CommandResult change_request(const Command& command);
  CommandResult set_budget(const Command& command);
  CommandResult add_proxy(const std::string& proxy);
  void update_observations(const Command& command);
  void end_completed_requests();
  bool has_work_left(const Request& request) const;

  // Transitions of a workflow, in workflow_transitions.cpp.
  CommandResult announce_drain(const Command& command);
  CommandResult advance_workflow(const Command& command);
  CommandResult mark_out(MaintenanceWorkflow& workflow);
  CommandResult confirm_drained(const Command& command);
  CommandResult change_state(MaintenanceWorkflow& workflow, WorkflowState from, WorkflowState to);
  void complete_workflow(const std::string& machine);
  void call_back_workflow(const std::string& machine);
  void call_back_workflows_of(const std::string& request);

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
