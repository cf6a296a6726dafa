// Checks whether one more machine may be taken out of service within the disruption budget.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "maintenance/maintenance_model.h"

namespace beechhill::maintenance {

/// Checks the disruption budget for the machines of one role. The constructor sums up the capacity
/// of these machines, in time linear in machines and workflows; each check then takes logarithmic
/// time. The constructor's arguments must outlive the object and stay unchanged.
class DisruptionBudgetCheck {
 public:
  DisruptionBudgetCheck(const DisruptionBudget& budget, Role role,
                        const std::map<std::string, Machine>& machines,
                        const std::map<std::string, MaintenanceWorkflow>& workflows,
                        const std::map<std::string, double>& zone_utilization);

  /// Returns the budget limit that forbids taking `machine` out, as the limit's name in the
  /// settings followed by the figures, for display; empty if no limit forbids it. `machine` must be
  /// one of the listed machines of the role and must not have a workflow.
  std::string violation(const Machine& machine) const;

 private:
  /// Sums over the machines of one scope: the whole role, a zone or a cell.
  struct Scope {
    /// Number of machines with a workflow.
    std::uint32_t out = 0;
    /// Number and total relative capacity of the machines that are up, warm and without a workflow.
    std::uint32_t serving = 0;
    double serving_capacity = 0;
    /// Capacity that the current load requires.
    double needed_capacity = 0;
  };
  /// Names of a cell's zone and of the cell.
  using CellKey = std::pair<std::string, std::string>;

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
  /// Number of workflows whose machine is no longer listed. These machines count as out in every
  /// scope, because their zones and cells are unknown.
  std::uint32_t unlisted_ = 0;
};

}  // namespace beechhill::maintenance
