// The state transitions of a maintenance workflow.
#include <utility>

#include "maintenance/maintenance_planner.h"
#include "maintenance/maintenance_state_machine.h"

namespace beechhill::maintenance {

// Checks the budget again, because the state may have changed since the leader proposed the
// command.
CommandResult MaintenanceStateMachine::announce_drain(const Command& command) {
  const auto request = requests_.find(command.id);
  const auto machine = machines_.find(command.machine);
  if (request == requests_.end() || machine == machines_.end()) {
    return CommandResult::kUnknown;
  }
  if (!MaintenancePlanner(*this).blocking_reason(request->second, machine->second).empty()) {
    return CommandResult::kBudgetExceeded;
  }
  MaintenanceWorkflow workflow;
  workflow.request = command.id;
  workflow.machine = command.machine;
  workflow.fencing_token = next_fencing_token_++;
  workflow.state_index = applied_index_;
  workflow.state_since = time_;
  workflow.started_at = machine->second.started_at;
  workflows_[command.machine] = std::move(workflow);
  return CommandResult::kApplied;
}

// Ignores commands of an earlier workflow of the machine, which have another fencing token. Token
// 0, as in operators' commands, matches any workflow.
CommandResult MaintenanceStateMachine::advance_workflow(const Command& command) {
  const auto found = workflows_.find(command.machine);
  if (found == workflows_.end() ||
      (command.fencing_token != 0 && found->second.fencing_token != command.fencing_token)) {
    return CommandResult::kOtherWorkflow;
  }
  MaintenanceWorkflow& workflow = found->second;
  switch (command.type) {
    case CommandType::kStartDrain:
      return paused() ? CommandResult::kPaused
                      : change_state(workflow, WorkflowState::kAnnounced, WorkflowState::kDraining);
    case CommandType::kMarkOut:
      return paused() ? CommandResult::kPaused : mark_out(workflow);
    case CommandType::kCompleteWork:
      // An observed restart does not complete the work, because it may have happened before the
      // work began: the endpoint list reports restarts with a delay. Only the operator's command
      // does.
      return workflow.request != command.id
                 ? CommandResult::kOtherRequest
                 : change_state(workflow, WorkflowState::kOut, WorkflowState::kWarming);
    case CommandType::kCompleteWorkflow:
      if (workflow.state != WorkflowState::kWarming) {
        return CommandResult::kOtherState;
      }
      complete_workflow(command.machine);
      return CommandResult::kApplied;
    case CommandType::kAbortDrain:
      if (workflow.state >= WorkflowState::kOut) {
        return CommandResult::kOtherState;
      }
      abort_drain(command.machine);
      return CommandResult::kApplied;
    default:
      return CommandResult::kUnknown;
  }
}

CommandResult MaintenanceStateMachine::confirm_drained(const Command& command) {
  const auto found = workflows_.find(command.machine);
  if (found == workflows_.end() || found->second.fencing_token != command.fencing_token) {
    return CommandResult::kOtherWorkflow;
  }
  MaintenanceWorkflow& workflow = found->second;
  if (workflow.state != WorkflowState::kDraining) {
    return CommandResult::kOtherState;
  }
  if (!workflow.confirmed_proxies.insert(command.proxy).second) {
    return CommandResult::kNothingToChange;
  }
  if (awaited_proxies(workflow, {}).empty()) {
    return change_state(workflow, WorkflowState::kDraining, WorkflowState::kDrained);
  }
  return CommandResult::kApplied;
}

CommandResult MaintenanceStateMachine::mark_out(MaintenanceWorkflow& workflow) {
  // started_at is updated even if the transition is rejected, as earlier versions do, so that
  // replicas of different versions hold the same state.
  if (const auto machine = machines_.find(workflow.machine); machine != machines_.end()) {
    workflow.started_at = machine->second.started_at;
  }
  return change_state(workflow, WorkflowState::kDrained, WorkflowState::kOut);
}

CommandResult MaintenanceStateMachine::change_state(MaintenanceWorkflow& workflow,
                                                    WorkflowState from, WorkflowState to) {
  if (workflow.state != from) {
    return CommandResult::kOtherState;
  }
  workflow.state = to;
  workflow.state_since = time_;
  workflow.state_index = applied_index_;
  return CommandResult::kApplied;
}

void MaintenanceStateMachine::complete_workflow(const std::string& machine) {
  const auto workflow = workflows_.find(machine);
  const auto request = requests_.find(workflow->second.request);
  if (request != requests_.end()) {
    request->second.completed_machines.insert(machine);
    request->second.deferred_until.erase(machine);
  }
  workflows_.erase(workflow);
  end_completed_requests();
}

void MaintenanceStateMachine::abort_drain(const std::string& machine) {
  const auto workflow = workflows_.find(machine);
  const auto request = requests_.find(workflow->second.request);
  if (request != requests_.end()) {
    request->second.deferred_until[machine] = time_ + budget_.deferral;
  }
  workflows_.erase(workflow);
  end_completed_requests();
}

// Aborts the drains of a request. Machines that are already out stay out until operators end the
// work.
void MaintenanceStateMachine::abort_drains_of(const std::string& request) {
  std::vector<std::string> machines;
  for (const auto& [machine, workflow] : workflows_) {
    if (workflow.request == request && workflow.state < WorkflowState::kOut) {
      machines.push_back(machine);
    }
  }
  for (const std::string& machine : machines) {
    abort_drain(machine);
  }
}

}  // namespace beechhill::maintenance
