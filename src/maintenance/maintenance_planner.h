// What is to happen next by the replicated state: the leader's next commands, and for operators why
// a request does not go on.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "maintenance/disruption_budget_check.h"
#include "maintenance/maintenance_state_machine.h"

namespace beechhill::maintenance {

/// A pure view of a state machine, which must outlive it unchanged. Cheap to make.
class MaintenancePlanner {
 public:
  explicit MaintenancePlanner(const MaintenanceStateMachine& state) : state_(state) {}

  /// Commands that the state calls for, of which at most one announces a drain: each announcement
  /// changes what the next may be. Their time is that of the state. Requests go by priority, aged
  /// by the time that they have waited, and then by age; a request that has waited longer than one
  /// aging interval is not overtaken.
  std::vector<Command> next_commands(const AcknowledgedIndexes& acknowledged) const;

  /// Why a request does not go on, a line for each reason; empty: nothing blocks it.
  std::vector<std::string> explain(const std::string& request,
                                   const AcknowledgedIndexes& acknowledged) const;

  /// Why the machine's drain may not be announced now for that request; empty: it may.
  std::string blocking_reason(const Request& request, const Machine& machine) const;

 private:
  /// The command that moves the workflow on, if any is due. An empty proxy confirms for those that
  /// were removed while they were waited for.
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
  /// A machine of the list that the request has yet to take.
  bool is_candidate(const Request& request, const Machine& machine) const;
  bool has_aged(const Request& request) const;
  std::int64_t aged_priority(const Request& request) const;
  /// Open and approved requests, the one to serve first in front.
  std::vector<const Request*> requests_by_priority() const;

  const MaintenanceStateMachine& state_;
};

}  // namespace beechhill::maintenance
