// Whether one more machine may be taken out of service within the disruption budget.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "maintenance/maintenance_model.h"

namespace beechhill::maintenance {

/// Sums the capacity of all machines of one role once, in time linear in machines and workflows,
/// and then answers for each of them in logarithmic time. What it was made from must outlive it
/// unchanged.
class DisruptionBudgetCheck {
 public:
  DisruptionBudgetCheck(const DisruptionBudget& budget, Role role,
                        const std::map<std::string, Machine>& machines,
                        const std::map<std::string, MaintenanceWorkflow>& workflows,
                        const std::map<std::string, double>& zone_utilization);

  /// The bound that forbids taking `machine`, one of the listed machines of that role without a
  /// workflow: its operators' name and the figures, for people. Empty: none does.
  std::string violation(const Machine& machine) const;

 private:
  /// Sums over all machines of a scope: everything, a zone or a cell.
  struct Scope {
    /// With a workflow.
    std::uint32_t out = 0;
    /// Up, warm and without a workflow; and their capacity.
    std::uint32_t serving = 0;
    double serving_capacity = 0;
    /// Capacity that the present load takes.
    double needed_capacity = 0;
  };
  using CellKey = std::pair<std::string, std::string>;  // zone, cell

  bool serves(const Machine& machine) const;
  std::string count_violation(const Machine& machine, const Scope& zone, const Scope& cell) const;
  std::string proxy_violation(const Machine& machine, const Scope& zone) const;
  std::string capacity_violation(const Machine& machine, const Scope& zone,
                                 const Scope& cell) const;
  bool has_reserve(const Scope& scope, double removed_capacity) const;

  const DisruptionBudget& budget_;
  const std::map<std::string, MaintenanceWorkflow>& workflows_;
  Scope total_;
  std::map<std::string, Scope> zones_;
  std::map<CellKey, Scope> cells_;
  /// With a workflow, and not listed any more: they count as out in every scope.
  std::uint32_t unlisted_ = 0;
};

}  // namespace beechhill::maintenance
