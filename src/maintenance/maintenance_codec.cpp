#include "maintenance/maintenance_codec.h"

#include <cmath>

namespace beechhill::maintenance {

using base::ByteReader;
using base::ByteWriter;

namespace {

// Real numbers are stored as whole millionths, so that equal values have equal encodings.
constexpr double kRealScale = 1e6;

void write_real(ByteWriter& writer, double value) {
  writer.number(static_cast<std::int64_t>(std::llround(value * kRealScale)));
}

double read_real(ByteReader& reader) {
  return static_cast<double>(reader.number<std::int64_t>()) / kRealScale;
}

void write_machine(ByteWriter& writer, const Machine& machine) {
  writer.text(machine.id)
      .text(machine.zone)
      .text(machine.cell)
      .text(machine.instance_type)
      .number(machine.role)
      .number(machine.up)
      .number(machine.warm)
      .number(machine.started_at);
  write_real(writer, machine.relative_capacity);
}

Machine read_machine(ByteReader& reader) {
  Machine machine;
  machine.id = reader.text(kMaxTextBytes);
  machine.zone = reader.text(kMaxTextBytes);
  machine.cell = reader.text(kMaxTextBytes);
  machine.instance_type = reader.text(kMaxTextBytes);
  machine.role = reader.number<Role>();
  machine.up = reader.number<bool>();
  machine.warm = reader.number<bool>();
  machine.started_at = reader.number<std::int64_t>();
  machine.relative_capacity = read_real(reader);
  return machine;
}

}  // namespace

void write_texts(ByteWriter& writer, const std::set<std::string>& texts) {
  writer.number(static_cast<std::uint32_t>(texts.size()));
  for (const std::string& text : texts) {
    writer.text(text);
  }
}

std::set<std::string> read_texts(ByteReader& reader) {
  std::set<std::string> texts;
  for (auto left = reader.number<std::uint32_t>(); left > 0 && reader.ok(); --left) {
    texts.insert(reader.text(kMaxTextBytes));
  }
  return texts;
}

void write_request(ByteWriter& writer, const Request& request) {
  writer.text(request.id)
      .number(request.selector.role)
      .text(request.selector.zone)
      .text(request.selector.cell)
      .text(request.selector.instance_type);
  write_texts(writer, request.selector.ids);
  writer.number(request.max_concurrent)
      .number(request.work_duration)
      .number(request.not_before)
      .number(request.not_after)
      .number(request.priority)
      .text(request.requested_by)
      .text(request.reason)
      .number(request.approved)
      .number(request.on_hold)
      .number(request.cancelled)
      .number(request.ended)
      .number(request.requested_at);
  write_texts(writer, request.completed_machines);
  writer.number(static_cast<std::uint32_t>(request.deferred_until.size()));
  for (const auto& [machine, until] : request.deferred_until) {
    writer.text(machine).number(until);
  }
}

Request read_request(ByteReader& reader) {
  Request request;
  request.id = reader.text(kMaxTextBytes);
  request.selector.role = reader.number<Role>();
  request.selector.zone = reader.text(kMaxTextBytes);
  request.selector.cell = reader.text(kMaxTextBytes);
  request.selector.instance_type = reader.text(kMaxTextBytes);
  request.selector.ids = read_texts(reader);
  request.max_concurrent = reader.number<std::uint32_t>();
  request.work_duration = reader.number<Seconds>();
  request.not_before = reader.number<Seconds>();
  request.not_after = reader.number<Seconds>();
  request.priority = reader.number<std::int32_t>();
  request.requested_by = reader.text(kMaxTextBytes);
  request.reason = reader.text(kMaxTextBytes);
  request.approved = reader.number<bool>();
  request.on_hold = reader.number<bool>();
  request.cancelled = reader.number<bool>();
  request.ended = reader.number<bool>();
  request.requested_at = reader.number<Seconds>();
  request.completed_machines = read_texts(reader);
  for (auto left = reader.number<std::uint32_t>(); left > 0 && reader.ok(); --left) {
    const std::string machine = reader.text(kMaxTextBytes);
    request.deferred_until[machine] = reader.number<Seconds>();
  }
  return request;
}

void write_budget(ByteWriter& writer, const DisruptionBudget& budget) {
  write_real(writer, budget.capacity_reserve);
  writer.number(budget.max_out)
      .number(budget.max_out_per_zone)
      .number(budget.max_out_per_cell)
      .number(budget.preserve_last_in_zone)
      .number(budget.preserve_last_in_cell)
      .number(budget.min_proxies_per_zone)
      .number(budget.drain_timeout)
      .number(budget.deferral)
      .number(budget.priority_aging_interval)
      .number(budget.quiet_period)
      .number(budget.needs_approval);
}

DisruptionBudget read_budget(ByteReader& reader) {
  DisruptionBudget budget;
  budget.capacity_reserve = read_real(reader);
  budget.max_out = reader.number<std::uint32_t>();
  budget.max_out_per_zone = reader.number<std::uint32_t>();
  budget.max_out_per_cell = reader.number<std::uint32_t>();
  budget.preserve_last_in_zone = reader.number<bool>();
  budget.preserve_last_in_cell = reader.number<bool>();
  budget.min_proxies_per_zone = reader.number<std::uint32_t>();
  budget.drain_timeout = reader.number<Seconds>();
  budget.deferral = reader.number<Seconds>();
  budget.priority_aging_interval = reader.number<Seconds>();
  budget.quiet_period = reader.number<Seconds>();
  budget.needs_approval = reader.number<bool>();
  return budget;
}

void write_workflow(ByteWriter& writer, const MaintenanceWorkflow& workflow) {
  writer.text(workflow.request)
      .text(workflow.machine)
      .number(workflow.fencing_token)
      .number(workflow.state)
      .number(workflow.state_index)
      .number(workflow.state_since)
      .number(workflow.started_at);
  write_texts(writer, workflow.confirmed_proxies);
}

MaintenanceWorkflow read_workflow(ByteReader& reader) {
  MaintenanceWorkflow workflow;
  workflow.request = reader.text(kMaxTextBytes);
  workflow.machine = reader.text(kMaxTextBytes);
  workflow.fencing_token = reader.number<FencingToken>();
  workflow.state = reader.number<WorkflowState>();
  workflow.state_index = reader.number<LogIndex>();
  workflow.state_since = reader.number<Seconds>();
  workflow.started_at = reader.number<std::int64_t>();
  workflow.confirmed_proxies = read_texts(reader);
  return workflow;
}

void write_observations(ByteWriter& writer, const std::map<std::string, Machine>& machines,
                        const std::map<std::string, double>& zone_utilization) {
  writer.number(static_cast<std::uint32_t>(machines.size()));
  for (const auto& [id, machine] : machines) {
    write_machine(writer, machine);
  }
  writer.number(static_cast<std::uint32_t>(zone_utilization.size()));
  for (const auto& [zone, utilization] : zone_utilization) {
    writer.text(zone);
    write_real(writer, utilization);
  }
}

void read_observations(ByteReader& reader, std::vector<Machine>& machines,
                       std::map<std::string, double>& zone_utilization) {
  for (auto left = reader.number<std::uint32_t>(); left > 0 && reader.ok(); --left) {
    machines.push_back(read_machine(reader));
  }
  for (auto left = reader.number<std::uint32_t>(); left > 0 && reader.ok(); --left) {
    const std::string zone = reader.text(kMaxTextBytes);
    zone_utilization[zone] = read_real(reader);
  }
}

}  // namespace beechhill::maintenance
