// The transitions of a machine's workflow, in the order of its states.
#include <utility>

#include "maintenance/maintenance_planner.h"
#include "maintenance/maintenance_state_machine.h"

namespace beechhill::maintenance {

// The budget is checked again: what held when the leader proposed it may not hold any more.
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

// Commands of an earlier workflow of the machine have another fencing token and change
// nothing. Token 0, as in operators' commands, is of any.
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
      // By the operator's command alone: a start that the list shows late may be one from before
      // the work.
      return workflow.request != command.id
                 ? CommandResult::kOtherRequest
                 : change_state(workflow, WorkflowState::kOut, WorkflowState::kWarming);
    case CommandType::kMarkWarming:
      if (workflow.state != WorkflowState::kWarming) {
        return CommandResult::kOtherState;
      }
      complete_workflow(command.machine);
      return CommandResult::kApplied;
    case CommandType::kCallBack:
      if (workflow.state >= WorkflowState::kOut) {
        return CommandResult::kOtherState;
      }
      call_back_workflow(command.machine);
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
  // Set in any state, as earlier versions do: replicas of both must hold the same state.
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

void MaintenanceStateMachine::call_back_workflow(const std::string& machine) {
  const auto workflow = workflows_.find(machine);
  const auto request = requests_.find(workflow->second.request);
  if (request != requests_.end()) {
    request->second.deferred_until[machine] = time_ + budget_.deferral;
  }
  workflows_.erase(workflow);
  end_completed_requests();
}

// Operators end the work on machines that are out already.
void MaintenanceStateMachine::call_back_workflows_of(const std::string& request) {
  std::vector<std::string> machines;
  for (const auto& [machine, workflow] : workflows_) {
    if (workflow.request == request && workflow.state < WorkflowState::kOut) {
      machines.push_back(machine);
    }
  }
  for (const std::string& machine : machines) {
    call_back_workflow(machine);
  }
}

}  // namespace beechhill::maintenance
