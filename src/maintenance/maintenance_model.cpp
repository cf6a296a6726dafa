#include "maintenance/maintenance_model.h"

#include <array>

namespace beechhill::maintenance {

const char* name(WorkflowState state) {
  static constexpr std::array<const char*, 5> kNames{"announced", "evacuating", "empty", "out",
                                                     "warming"};
  return kNames.at(static_cast<std::size_t>(state));
}

bool MachineSelector::matches(const Machine& machine) const {
  return machine.role == role && (ids.empty() || ids.contains(machine.id)) &&
         (zone.empty() || zone == machine.zone) && (cell.empty() || cell == machine.cell) &&
         (instance_type.empty() || instance_type == machine.instance_type);
}

}  // namespace beechhill::maintenance
