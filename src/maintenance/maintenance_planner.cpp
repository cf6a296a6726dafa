#include "maintenance/maintenance_planner.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace beechhill::maintenance {
namespace {

std::string join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

}  // namespace

std::vector<Command> MaintenancePlanner::next_commands(
    const AcknowledgedIndexes& acknowledged) const {
  std::vector<Command> commands;
  for (const auto& [machine, workflow] : state_.workflows()) {
    add_workflow_command(workflow, acknowledged, commands);
  }
  add_announcement(commands);
  return commands;
}

void MaintenancePlanner::add_workflow_command(const MaintenanceWorkflow& workflow,
                                              const AcknowledgedIndexes& acknowledged,
                                              std::vector<Command>& commands) const {
  const auto add = [&](CommandType type) {
    commands.push_back(command(type, workflow.request, workflow.machine, workflow.fencing_token));
  };
  const bool timed_out =
      state_.time() > workflow.state_since + state_.disruption_budget().drain_timeout;
  if (workflow.state < WorkflowState::kOut && (timed_out || state_.paused())) {
    return add(CommandType::kAbortDrain);
  }
  switch (workflow.state) {
    case WorkflowState::kAnnounced:
      if (state_.awaited_proxies(workflow, acknowledged).empty()) {
        add(CommandType::kStartDrain);
      }
      break;
    case WorkflowState::kDraining:
      if (state_.awaited_proxies(workflow, acknowledged).empty()) {
        add(CommandType::kConfirmDrained);
      }
      break;
    case WorkflowState::kDrained:
      add(CommandType::kMarkOut);
      break;
    case WorkflowState::kOut:
      break;
    case WorkflowState::kWarming: {
      const auto machine = state_.machines().find(workflow.machine);
      if (machine != state_.machines().end() && machine->second.up && machine->second.warm) {
        add(CommandType::kCompleteWorkflow);
      }
      break;
    }
  }
}

void MaintenancePlanner::add_announcement(std::vector<Command>& commands) const {
  const DisruptionBudgetCheck backend_check = budget_check(Role::kBackend);
  const DisruptionBudgetCheck proxy_check = budget_check(Role::kProxy);
  const Seconds now = state_.time();
  for (const Request* request : requests_by_priority()) {
    bool starved = false;
    for (const auto& [id, machine] : state_.machines()) {
      if (!is_candidate(*request, machine)) {
        continue;
      }
      const auto& check = machine.role == Role::kProxy ? proxy_check : backend_check;
      if (blocking_reason(*request, machine, check).empty()) {
        commands.push_back(command(CommandType::kAnnounceDrain, request->id, id, 0));
        return;
      }
      starved = starved || (has_aged(*request) && request->not_before <= now);
    }
    // Serves no later request while an aged one is blocked, as that could delay the aged one
    // forever.
    const bool window_over = request->not_after != 0 && request->not_after < now;
    if (starved && !state_.paused() && !window_over) {
      return;
    }
  }
}

Command MaintenancePlanner::command(CommandType type, const std::string& request,
                                    const std::string& machine, FencingToken fencing_token) const {
  Command command;
  command.type = type;
  command.issued_at = state_.time();
  command.id = request;
  command.machine = machine;
  command.fencing_token = fencing_token;
  return command;
}

std::string MaintenancePlanner::blocking_reason(const Request& request,
                                                const Machine& machine) const {
  return blocking_reason(request, machine, budget_check(machine.role));
}

std::string MaintenancePlanner::blocking_reason(const Request& request, const Machine& machine,
                                                const DisruptionBudgetCheck& budget_check) const {
  std::string reason = request_blocking_reason(request);
  if (reason.empty()) {
    reason = machine_blocking_reason(request, machine);
  }
  return reason.empty() ? budget_check.violation(machine) : reason;
}

std::string MaintenancePlanner::request_blocking_reason(const Request& request) const {
  const Seconds now = state_.time();
  if (!request.open()) {
    return "the request has ended";
  }
  if (!request.approved) {
    return "not approved";
  }
  if (request.on_hold) {
    return "on hold";
  }
  if (request.not_before > now) {
    return "the maintenance window has not begun";
  }
  if (request.not_after > 0 && request.not_after < now) {
    return "the maintenance window is over";
  }
  if (state_.paused()) {
    return "paused by an incident: " + (state_.incident().empty()
                                            ? "over, but the quiet period after it is not"
                                            : state_.incident());
  }
  return {};
}

std::string MaintenancePlanner::machine_blocking_reason(const Request& request,
                                                        const Machine& machine) const {
  if (!request.selector.matches(machine) || request.completed_machines.contains(machine.id)) {
    return machine.id + " is not selected by this request or already done";
  }
  const auto deferred = request.deferred_until.find(machine.id);
  if (deferred != request.deferred_until.end() && deferred->second > state_.time()) {
    return machine.id + ": drain was aborted, retry is deferred";
  }
  const auto& workflows = state_.workflows();
  if (const auto workflow = workflows.find(machine.id); workflow != workflows.end()) {
    return machine.id + " already has a workflow for request " + workflow->second.request;
  }
  const auto out_count =
      std::count_if(workflows.begin(), workflows.end(),
                    [&request](const auto& entry) { return entry.second.request == request.id; });
  if (out_count >= request.max_concurrent) {
    return "at_once: " + std::to_string(out_count) + " machines of this request are out, limit " +
           std::to_string(request.max_concurrent);
  }
  return {};
}

std::vector<std::string> MaintenancePlanner::explain(
    const std::string& id, const AcknowledgedIndexes& acknowledged) const {
  const auto found = state_.requests().find(id);
  if (found == state_.requests().end()) {
    return {"unknown request"};
  }
  const Request& request = found->second;
  if (request.cancelled) {
    return {"cancelled"};
  }
  if (request.ended) {
    return {"done"};
  }
  std::vector<std::string> lines;
  for (const auto& [machine, workflow] : state_.workflows()) {
    if (workflow.request == id) {
      lines.push_back(describe(request, workflow, acknowledged));
    }
  }
  explain_waiting_machines(request, lines);
  return lines;
}

std::string MaintenancePlanner::describe(const Request& request,
                                         const MaintenanceWorkflow& workflow,
                                         const AcknowledgedIndexes& acknowledged) const {
  std::string line = workflow.machine + " is " + name(workflow.state);
  if (workflow.state <= WorkflowState::kDraining) {
    const std::string awaited = join(state_.awaited_proxies(workflow, acknowledged));
    return awaited.empty() ? line : line + ", waiting for " + awaited;
  }
  if (workflow.state != WorkflowState::kOut) {
    return line;
  }
  const auto machine = state_.machines().find(workflow.machine);
  if (machine != state_.machines().end() && machine->second.up &&
      machine->second.started_at > workflow.started_at) {
    line += ", and its process has restarted since: if the work is done, report it";
  }
  if (request.work_duration > 0 && state_.time() > workflow.state_since + request.work_duration) {
    line += ", longer than the expected duration of the work";
  }
  return line;
}

void MaintenancePlanner::explain_waiting_machines(const Request& request,
                                                  std::vector<std::string>& lines) const {
  const DisruptionBudgetCheck check = budget_check(request.selector.role);
  std::set<std::string> reasons;
  bool any_candidate = false;
  bool any_unblocked = false;
  for (const auto& [id, machine] : state_.machines()) {
    if (!is_candidate(request, machine)) {
      continue;
    }
    any_candidate = true;
    std::string reason = blocking_reason(request, machine, check);
    if (reason.empty()) {
      any_unblocked = true;
    } else {
      reasons.insert(std::move(reason));
    }
  }
  if (!any_candidate && lines.empty()) {
    lines.emplace_back("no listed machine matches the selector");
  }
  if (!any_unblocked) {
    lines.insert(lines.end(), reasons.begin(), reasons.end());
    return;
  }
  for (const Request* earlier : requests_by_priority()) {
    if (earlier == &request) {
      return;
    }
    if (has_aged(*earlier)) {
      lines.push_back("waits for request " + earlier->id + ", which is served first");
      return;
    }
  }
}

DisruptionBudgetCheck MaintenancePlanner::budget_check(Role role) const {
  return {state_.disruption_budget(), role, state_.machines(), state_.workflows(),
          state_.zone_utilization()};
}

bool MaintenancePlanner::is_candidate(const Request& request, const Machine& machine) const {
  return request.selector.matches(machine) && !request.completed_machines.contains(machine.id) &&
         !state_.workflows().contains(machine.id);
}

bool MaintenancePlanner::has_aged(const Request& request) const {
  return state_.time() - request.requested_at > state_.disruption_budget().priority_aging_interval;
}

std::int64_t MaintenancePlanner::aged_priority(const Request& request) const {
  const Seconds interval = state_.disruption_budget().priority_aging_interval;
  return request.priority + (interval > 0 ? (state_.time() - request.requested_at) / interval : 0);
}

std::vector<const Request*> MaintenancePlanner::requests_by_priority() const {
  std::vector<const Request*> requests;
  for (const auto& [id, request] : state_.requests()) {
    if (request.open() && request.approved && !request.on_hold) {
      requests.push_back(&request);
    }
  }
  const auto key = [this](const Request* request) {
    return std::tuple(-aged_priority(*request), request->requested_at, request->id);
  };
  std::sort(requests.begin(), requests.end(),
            [&key](const Request* a, const Request* b) { return key(a) < key(b); });
  return requests;
}

}  // namespace beechhill::maintenance
