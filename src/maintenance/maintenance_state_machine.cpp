#include "maintenance/maintenance_state_machine.h"

#include <algorithm>
#include <utility>

#include "base/byte_codec.h"
#include "maintenance/maintenance_codec.h"

namespace beechhill::maintenance {

using base::ByteReader;
using base::ByteWriter;

namespace {

// Ended requests are kept for a day after their submission, so that operators can look them up.
constexpr Seconds kEndedRequestRetention = 86'400;

}  // namespace

CommandResult MaintenanceStateMachine::apply(LogIndex index, const Command& command) {
  applied_index_ = std::max(applied_index_, index);
  // The time never decreases, even if a clock steps or the clock of a new leader is behind.
  time_ = std::max(time_, command.issued_at);
  switch (command.type) {
    case CommandType::kSubmitRequest:
      return submit_request(command);
    case CommandType::kApproveRequest:
    case CommandType::kHoldRequest:
    case CommandType::kResumeRequest:
    case CommandType::kCancelRequest:
      return change_request(command);
    case CommandType::kSetDisruptionBudget:
      return set_budget(command);
    case CommandType::kUpdateObservations:
      update_observations(command);
      return CommandResult::kApplied;
    case CommandType::kAdvanceTime:
      end_completed_requests();
      return CommandResult::kApplied;
    case CommandType::kAddProxy:
      return add_proxy(command.proxy);
    case CommandType::kRemoveProxy:
    case CommandType::kForgetProxy:
      return proxies_.erase(command.proxy) > 0 ? CommandResult::kApplied
                                               : CommandResult::kUnknownProxy;
    case CommandType::kAnnounceDrain:
      return announce_drain(command);
    case CommandType::kConfirmDrained:
      return confirm_drained(command);
    case CommandType::kCompleteWork:
    case CommandType::kStartDrain:
    case CommandType::kMarkOut:
    case CommandType::kCompleteWorkflow:
    case CommandType::kAbortDrain:
      return advance_workflow(command);
  }
  return CommandResult::kUnknown;
}

// A request with the same id and machines as an earlier one, by the same operator, is a repetition
// and changes nothing.
CommandResult MaintenanceStateMachine::submit_request(const Command& command) {
  if (!command.request || command.request->id.empty()) {
    return CommandResult::kNoRequest;
  }
  const auto existing = requests_.find(command.request->id);
  if (existing != requests_.end()) {
    const bool is_repetition = existing->second.selector.ids == command.request->selector.ids &&
                               existing->second.requested_by == command.request->requested_by;
    return is_repetition ? CommandResult::kNothingToChange : CommandResult::kIdIsTaken;
  }
  if (requests_.size() >= kMaxRequests) {
    return CommandResult::kTooManyRequests;
  }
  Request request = *command.request;
  request.approved = !budget_.needs_approval;
  request.on_hold = false;
  request.cancelled = false;
  request.ended = false;
  request.requested_at = time_;
  request.completed_machines.clear();
  request.deferred_until.clear();
  request.max_concurrent = std::max<std::uint32_t>(1, request.max_concurrent);
  requests_.emplace(request.id, std::move(request));
  return CommandResult::kApplied;
}

CommandResult MaintenanceStateMachine::change_request(const Command& command) {
  const auto found = requests_.find(command.id);
  if (found == requests_.end()) {
    return CommandResult::kUnknownRequest;
  }
  Request& request = found->second;
  if (!request.open()) {
    return CommandResult::kEnded;
  }
  bool* flag = &request.on_hold;
  if (command.type == CommandType::kApproveRequest) {
    flag = &request.approved;
  } else if (command.type == CommandType::kCancelRequest) {
    flag = &request.cancelled;
  }
  const bool value = command.type != CommandType::kResumeRequest;
  if (*flag == value) {
    return CommandResult::kNothingToChange;
  }
  *flag = value;
  if (command.type == CommandType::kHoldRequest || command.type == CommandType::kCancelRequest) {
    abort_drains_of(command.id);
  }
  end_completed_requests();
  return CommandResult::kApplied;
}

CommandResult MaintenanceStateMachine::set_budget(const Command& command) {
  if (!command.disruption_budget || *command.disruption_budget == budget_) {
    return CommandResult::kNothingToChange;
  }
  budget_ = *command.disruption_budget;
  return CommandResult::kApplied;
}

CommandResult MaintenanceStateMachine::add_proxy(const std::string& proxy) {
  if (proxies_.size() >= kMaxProxies) {
    return CommandResult::kTooManyProxies;
  }
  return proxies_.insert(proxy).second ? CommandResult::kApplied : CommandResult::kNothingToChange;
}

void MaintenanceStateMachine::update_observations(const Command& command) {
  for (const std::string& id : command.removed_machines) {
    machines_.erase(id);
  }
  for (const Machine& machine : command.machines) {
    if (machines_.contains(machine.id) || machines_.size() < kMaxMachines) {
      machines_[machine.id] = machine;
    }
  }
  zone_utilization_ = command.zone_utilization;
  incident_ = command.incident;
  if (!incident_.empty()) {
    paused_until_ = time_ + budget_.quiet_period;
  }
  end_completed_requests();
}

bool MaintenanceStateMachine::has_work_left(const Request& request) const {
  // Before the first observation it is not known which machines the request selects, so the request
  // counts as unfinished.
  if (machines_.empty()) {
    return true;
  }
  const bool machine_left =
      std::any_of(machines_.begin(), machines_.end(), [&request](const auto& entry) {
        return request.selector.matches(entry.second) &&
               !request.completed_machines.contains(entry.first);
      });
  return machine_left ||
         std::any_of(workflows_.begin(), workflows_.end(),
                     [&request](const auto& entry) { return entry.second.request == request.id; });
}

// Ends requests whose machines are all done, and deletes ended requests after
// kEndedRequestRetention.
void MaintenanceStateMachine::end_completed_requests() {
  for (auto& [id, request] : requests_) {
    // A request without a completed machine stays open, because the endpoint list may not show the
    // selected machines yet.
    if (request.open() && !request.completed_machines.empty() && !has_work_left(request)) {
      request.ended = true;
    }
  }
  std::erase_if(requests_, [this](const auto& entry) {
    const auto& [id, request] = entry;
    const bool in_progress =
        std::any_of(workflows_.begin(), workflows_.end(),
                    [&id](const auto& workflow) { return workflow.second.request == id; });
    return !request.open() && !in_progress && time_ > request.requested_at + kEndedRequestRetention;
  });
}

Role MaintenanceStateMachine::role_of(const MaintenanceWorkflow& workflow) const {
  const auto request = requests_.find(workflow.request);
  return request == requests_.end() ? Role::kBackend : request->second.selector.role;
}

std::vector<std::string> MaintenanceStateMachine::awaited_proxies(
    const MaintenanceWorkflow& workflow, const AcknowledgedIndexes& acknowledged) const {
  const Role role = role_of(workflow);
  const auto is_awaited = [&](const std::string& proxy) {
    // The drain of a proxy waits only for that proxy, because no other knows which requests it has
    // in flight.
    if (role == Role::kProxy && proxy != workflow.machine) {
      return false;
    }
    if (workflow.state != WorkflowState::kAnnounced) {
      return !workflow.confirmed_proxies.contains(proxy);
    }
    const auto held = acknowledged.find(proxy);
    return held == acknowledged.end() || held->second < workflow.state_index;
  };
  std::vector<std::string> awaited;
  std::copy_if(proxies_.begin(), proxies_.end(), std::back_inserter(awaited), is_awaited);
  return awaited;
}

DispatchPermissionMap MaintenanceStateMachine::dispatch_permissions(Role role) const {
  DispatchPermissionMap permissions;
  for (const auto& [id, workflow] : workflows_) {
    if (role_of(workflow) != role || workflow.state == WorkflowState::kWarming) {
      continue;
    }
    const bool announced = workflow.state == WorkflowState::kAnnounced;
    permissions[id] = {!announced, announced, workflow.fencing_token};
  }
  return permissions;
}

std::string MaintenanceStateMachine::snapshot() const {
  ByteWriter writer;
  writer.number(applied_index_).number(time_).number(paused_until_).number(next_fencing_token_);
  write_budget(writer, budget_);
  writer.text(incident_);
  writer.number(static_cast<std::uint32_t>(requests_.size()));
  for (const auto& [id, request] : requests_) {
    write_request(writer, request);
  }
  writer.number(static_cast<std::uint32_t>(workflows_.size()));
  for (const auto& [machine, workflow] : workflows_) {
    write_workflow(writer, workflow);
  }
  write_observations(writer, machines_, zone_utilization_);
  write_texts(writer, proxies_);
  return writer.bytes();
}

bool MaintenanceStateMachine::restore(std::string_view bytes) {
  ByteReader reader(bytes);
  MaintenanceStateMachine restored;
  restored.applied_index_ = reader.number<LogIndex>();
  restored.time_ = reader.number<Seconds>();
  restored.paused_until_ = reader.number<Seconds>();
  restored.next_fencing_token_ = reader.number<FencingToken>();
  restored.budget_ = read_budget(reader);
  restored.incident_ = reader.text(kMaxTextBytes);
  for (auto left = reader.number<std::uint32_t>(); left > 0 && reader.ok(); --left) {
    Request request = read_request(reader);
    restored.requests_.emplace(request.id, std::move(request));
  }
  for (auto left = reader.number<std::uint32_t>(); left > 0 && reader.ok(); --left) {
    MaintenanceWorkflow workflow = read_workflow(reader);
    if (workflow.state > WorkflowState::kWarming) {
      return false;
    }
    restored.workflows_.emplace(workflow.machine, std::move(workflow));
  }
  std::vector<Machine> machines;
  read_observations(reader, machines, restored.zone_utilization_);
  for (Machine& machine : machines) {
    restored.machines_.emplace(machine.id, std::move(machine));
  }
  restored.proxies_ = read_texts(reader);
  if (!reader.done()) {
    return false;
  }
  *this = std::move(restored);
  return true;
}

}  // namespace beechhill::maintenance
