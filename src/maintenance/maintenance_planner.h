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

  /// Returns the commands that are due, with the time of the state. At most one of them announces a
  /// drain, because each announcement changes which drains are allowed next. Requests are served by
  /// priority, which rises with waiting time, and then in order of submission. A request that has
  /// waited for more than one aging interval is not overtaken.
  std::vector<Command> next_commands(const AcknowledgedIndexes& acknowledged) const;

  /// Returns the reasons why a request waits, one line each; empty if nothing blocks it.
  std::vector<std::string> explain(const std::string& request,
                                   const AcknowledgedIndexes& acknowledged) const;

  /// Returns why the drain of the machine may not be announced now for the request; empty if it
  /// may.
  std::string blocking_reason(const Request& request, const Machine& machine) const;

 private:
  /// Adds the command that advances the workflow, if one is due. In kConfirmDrained the proxy is
  /// left empty: that command completes a drain whose remaining awaited proxies have been removed.
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
