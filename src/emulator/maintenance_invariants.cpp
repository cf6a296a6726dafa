#include "emulator/maintenance_invariants.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>

#include "emulator/units.h"

namespace beechhill::emulator {
namespace {

constexpr std::uint64_t kMaxViolationsInText = 5;

}  // namespace

void MaintenanceInvariants::check_replica(Time now, std::size_t voter,
                                          const maintenance::MaintenanceStateMachine& state) {
  maintenance::LogIndex& checked = checked_indexes_[voter];
  if (checked == state.applied_index() || state.applied_index() == 0) {
    return;
  }
  checked = state.applied_index();
  check_agreement(now, state);
  check_fencing_tokens(now, state);
  check_budget(now, state);
}

void MaintenanceInvariants::check_agreement(Time now,
                                            const maintenance::MaintenanceStateMachine& state) {
  const std::size_t hash = std::hash<std::string>{}(state.snapshot());
  const auto [known, is_first] = state_hashes_.try_emplace(state.applied_index(), hash);
  if (!is_first && known->second != hash) {
    report(now, verdict_.diverged,
           fmt::format("replicas have different states at log index {}", state.applied_index()));
  }
}

void MaintenanceInvariants::check_fencing_tokens(
    Time now, const maintenance::MaintenanceStateMachine& state) {
  for (const auto& [machine, workflow] : state.workflows()) {
    const auto [known, is_first] = token_machines_.try_emplace(workflow.fencing_token, machine);
    if (!is_first && known->second != machine) {
      report(now, verdict_.diverged,
             fmt::format("fencing token {} issued for both {} and {}", workflow.fencing_token,
                         machine, known->second));
    }
  }
}

void MaintenanceInvariants::check_budget(Time now,
                                         const maintenance::MaintenanceStateMachine& state) {
  std::uint32_t out = 0;
  std::map<std::string, std::uint32_t> out_by_zone;
  for (const auto& [id, workflow] : state.workflows()) {
    if (!id.starts_with("backend")) {
      continue;
    }
    const auto machine = state.machines().find(id);
    ++out;
    ++out_by_zone[machine == state.machines().end() ? "" : machine->second.zone];
  }
  const bool zone_exceeded =
      std::any_of(out_by_zone.begin(), out_by_zone.end(),
                  [this](const auto& zone) { return zone.second > budget_.max_out_per_zone; });
  if (out > budget_.max_out || zone_exceeded) {
    report(now, verdict_.budget_exceeded,
           fmt::format("{} machines are out of service, which exceeds the disruption budget", out));
  }
}

void MaintenanceInvariants::check_machines_in_work(Time now, std::uint32_t count) {
  if (count > budget_.max_out) {
    report(now, verdict_.budget_exceeded,
           fmt::format("{} machines are worked on, which exceeds the disruption budget", count));
  }
}

void MaintenanceInvariants::report_dispatch_during_maintenance(Time now, const std::string& what) {
  report(now, verdict_.attempts_during_maintenance, what);
}

void MaintenanceInvariants::report(Time now, std::uint64_t& count, const std::string& what) {
  ++count;
  if (verdict_.all() <= kMaxViolationsInText) {
    verdict_.text += fmt::format("{:.2f} s: {}\n", to_s(now), what);
  }
}

}  // namespace beechhill::emulator
