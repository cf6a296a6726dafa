// Derives from the replicated state the leader's next commands and, for operators, the reasons why
// a request waits.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "maintenance/disruption_budget_check.h"
#include "maintenance/maintenance_state_machine.h"

namespace beechhill::maintenance {

/// A read-only view of a state machine, which must outlive the planner and stay unchanged. Cheap to
/// construct.
class MaintenancePlanner {
 public:
  explicit MaintenancePlanner(const MaintenanceStateMachine& state) : state_(state) {}

  /// Returns the commands that are due, issued at the time of the state. At most one of them
  /// announces a drain, because each announcement changes which drains are allowed next. Requests
  /// are served by priority, which rises with waiting time, and then in order of submission. While
  /// a request that has waited for more than one aging interval is blocked, no request after it in
  /// this order is served, unless maintenance is paused or the blocked request's window is closed.
  std::vector<Command> next_commands(const AcknowledgedIndexes& acknowledged) const;

  /// Returns the reasons why a request waits, one line each; empty if nothing blocks it.
  std::vector<std::string> explain(const std::string& request,
                                   const AcknowledgedIndexes& acknowledged) const;

  /// Returns why the drain of the machine may not be announced now for the request; empty if it
  /// may.
  std::string blocking_reason(const Request& request, const Machine& machine) const;

 private:
  /// Adds the command that advances the workflow, if one is due. A kConfirmDrained command added
  /// here names no proxy; it completes a drain after the last awaited proxies have been removed.
  void add_workflow_command(const MaintenanceWorkflow& workflow,
                            const AcknowledgedIndexes& acknowledged,
                            std::vector<Command>& commands) const;
  void add_announcement(std::vector<Command>& commands) const;
  Command command(CommandType type, const std::string& request, const std::string& machine,
                  FencingToken fencing_token) const;

  std::string blocking_reason(const Request& request, const Machine& machine,
                              const DisruptionBudgetCheck& budget_check) const;
  std::string request_blocking_reason(const Request& request) const;
  std::string machine_blocking_reason(const Request& request, const Machine& machine) const;

  std::string describe(const Request& request, const MaintenanceWorkflow& workflow,
                       const AcknowledgedIndexes& acknowledged) const;
  void explain_waiting_machines(const Request& request, std::vector<std::string>& lines) const;

  DisruptionBudgetCheck budget_check(Role role) const;
  /// Whether the request selects the machine and the machine is neither done nor in a workflow.
  bool is_candidate(const Request& request, const Machine& machine) const;
  bool has_aged(const Request& request) const;
  std::int64_t aged_priority(const Request& request) const;
  /// Open, approved requests that are not on hold, in the order in which they are served.
  std::vector<const Request*> requests_by_priority() const;

  const MaintenanceStateMachine& state_;
};

}  // namespace beechhill::maintenance
