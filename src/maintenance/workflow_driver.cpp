#include "maintenance/workflow_driver.h"

#include <utility>

#include "maintenance/maintenance_planner.h"

namespace beechhill::maintenance {

void WorkflowDriver::confirm_drained(const std::string& proxy,
                                     const DrainConfirmation& confirmation) {
  const auto found = state_.workflows().find(confirmation.machine);
  if (found == state_.workflows().end()) {
    return;
  }
  const MaintenanceWorkflow& workflow = found->second;
  if (workflow.fencing_token == confirmation.fencing_token &&
      workflow.state == WorkflowState::kDraining && !workflow.confirmed_proxies.contains(proxy)) {
    proposals_.propose_once(CommandType::kConfirmDrained, proxy, confirmation.machine,
                            confirmation.fencing_token);
  }
}

void WorkflowDriver::confirm_expired_leases(Time now) {
  for (const auto& [machine, workflow] : state_.workflows()) {
    if (workflow.state != WorkflowState::kDraining) {
      continue;
    }
    for (const std::string& proxy : state_.proxies()) {
      if (!workflow.confirmed_proxies.contains(proxy) &&
          proxies_.is_drained_by_expiry(now, proxy)) {
        proposals_.propose_once(CommandType::kConfirmDrained, proxy, machine,
                                workflow.fencing_token);
      }
    }
  }
}

void WorkflowDriver::remove_stopped_proxies(Time now) {
  for (const std::string& proxy : state_.proxies()) {
    if (proxies_.has_stopped_serving(now, proxy)) {
      proposals_.propose_once(CommandType::kRemoveProxy, proxy);
    }
  }
}

void WorkflowDriver::continue_readmissions() {
  for (const std::string& voter : raft_.pending_readmissions()) {
    raft_.readmit(voter);
  }
}

void WorkflowDriver::propose_next_commands() {
  if (raft_.pending_proposals() > 0) {
    return;
  }
  const MaintenancePlanner planner(state_);
  for (Command& command : planner.next_commands(proxies_.acknowledged_indexes())) {
    proposals_.propose(std::move(command));
  }
}

}  // namespace beechhill::maintenance
