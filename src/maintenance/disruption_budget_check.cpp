#include "maintenance/disruption_budget_check.h"

namespace beechhill::maintenance {

DisruptionBudgetCheck::DisruptionBudgetCheck(
    const DisruptionBudget& budget, Role role, const std::map<std::string, Machine>& machines,
    const std::map<std::string, MaintenanceWorkflow>& workflows,
    const std::map<std::string, double>& zone_utilization)
    : budget_(budget), workflows_(workflows) {
  for (const auto& [id, machine] : machines) {
    if (machine.role != role) {
      continue;
    }
    const auto utilization = zone_utilization.find(machine.zone);
    const double needed =
        utilization == zone_utilization.end() ? 0 : utilization->second * machine.relative_capacity;
    for (Scope* scope : {&total_, &zones_[machine.zone], &cells_[{machine.zone, machine.cell}]}) {
      scope->needed_capacity += needed;
      scope->out += workflows.contains(id) ? 1 : 0;
      if (serves(machine)) {
        scope->serving_capacity += machine.relative_capacity;
        ++scope->serving;
      }
    }
  }
  for (const auto& [id, workflow] : workflows) {
    unlisted_ += machines.contains(id) ? 0 : 1;
  }
}

bool DisruptionBudgetCheck::serves(const Machine& machine) const {
  return machine.up && machine.warm && !workflows_.contains(machine.id);
}

std::string DisruptionBudgetCheck::violation(const Machine& machine) const {
  const Scope& zone = zones_.at(machine.zone);
  const Scope& cell = cells_.at({machine.zone, machine.cell});
  std::string violated = count_violation(machine, zone, cell);
  if (!violated.empty()) {
    return violated;
  }
  return machine.role == Role::kProxy ? proxy_violation(machine, zone)
                                      : capacity_violation(machine, zone, cell);
}

std::string DisruptionBudgetCheck::count_violation(const Machine& machine, const Scope& zone,
                                                   const Scope& cell) const {
  const std::uint32_t out = total_.out + unlisted_;
  const std::uint32_t zone_out = zone.out + unlisted_;
  const std::uint32_t cell_out = cell.out + unlisted_;
  if (out >= budget_.max_out) {
    return "most_out: " + std::to_string(out) + " machines are out, limit " +
           std::to_string(budget_.max_out);
  }
  if (zone_out >= budget_.max_out_per_zone) {
    return "most_out_zone: " + std::to_string(zone_out) + " machines are out in zone " +
           machine.zone + ", limit " + std::to_string(budget_.max_out_per_zone);
  }
  if (cell_out >= budget_.max_out_per_cell) {
    return "most_out_cell: " + std::to_string(cell_out) + " machines are out in cell " +
           machine.cell + ", limit " + std::to_string(budget_.max_out_per_cell);
  }
  return {};
}

std::string DisruptionBudgetCheck::proxy_violation(const Machine& machine,
                                                   const Scope& zone) const {
  const std::uint32_t remaining = zone.serving - (serves(machine) ? 1 : 0);
  if (remaining >= budget_.min_proxies_per_zone) {
    return {};
  }
  return "least_proxies: " + std::to_string(remaining) + " proxies would remain in zone " +
         machine.zone + ", minimum " + std::to_string(budget_.min_proxies_per_zone);
}

std::string DisruptionBudgetCheck::capacity_violation(const Machine& machine, const Scope& zone,
                                                      const Scope& cell) const {
  const std::uint32_t removed = serves(machine) ? 1 : 0;
  const double removed_capacity = removed > 0 ? machine.relative_capacity : 0;
  if (!has_reserve(total_, removed_capacity)) {
    return "reserve: the remaining capacity would not carry the load plus the reserve";
  }
  if (!has_reserve(zone, removed_capacity)) {
    return "reserve: the remaining capacity of zone " + machine.zone +
           " would not carry its load plus the reserve";
  }
  if (budget_.preserve_last_in_zone && zone.serving == removed) {
    return "keep_zone: last machine in service in zone " + machine.zone;
  }
  if (budget_.preserve_last_in_cell && cell.serving == removed) {
    return "keep_cell: last machine in service in cell " + machine.cell;
  }
  return {};
}

bool DisruptionBudgetCheck::has_reserve(const Scope& scope, double removed_capacity) const {
  return scope.serving_capacity - removed_capacity >=
         scope.needed_capacity * (1 + budget_.capacity_reserve);
}

}  // namespace beechhill::maintenance
