#include "maintenance/observation_reporter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace beechhill::maintenance {
namespace {

constexpr Duration kReportInterval{1'000'000};
// Maximum number of changed machines, and of removed machines, in one command. Further changes are
// sent in later commands.
constexpr std::size_t kMaxMachinesPerReport = 400;
// Maximum change of a zone's utilization that is not reported.
constexpr double kUtilizationStep = 0.05;
constexpr const char* kProposalKey = "observations";

}  // namespace

void ObservationReporter::reset(Time now, Time first_report) {
  incidents_.reset(now);
  next_report_ = first_report;
}

void ObservationReporter::tick(Time now, const LocalView& view) {
  if (now < next_report_ || proposals_.in_flight(kProposalKey) || !view.has_discovery_update) {
    return;
  }
  next_report_ = now + kReportInterval;
  incident_ = incidents_.detect(now, state_, view, proxies_);

  Command update;
  update.type = CommandType::kUpdateObservations;
  update.incident = incident_.substr(0, kMaxTextBytes);
  add_machine_changes(observed_machines(now, view), update);
  const bool utilization_changed = add_utilization(update);
  const bool changed = utilization_changed || !update.machines.empty() ||
                       !update.removed_machines.empty() || !update.incident.empty() ||
                       update.incident != state_.incident();
  if (!changed) {
    if (!has_open_work()) {
      return;
    }
    update = Command{};
    update.type = CommandType::kAdvanceTime;
  }
  proposals_.propose_once(kProposalKey, std::move(update));
}

std::map<std::string, Machine> ObservationReporter::observed_machines(Time now,
                                                                      const LocalView& view) const {
  std::map<std::string, Machine> observed;
  for (const Machine& machine : view.machines) {
    observed[machine.id] = machine;
  }
  for (const auto& [name, status] : proxies_.proxies()) {
    if (!state_.proxies().contains(name)) {
      continue;
    }
    Machine proxy;
    proxy.id = name;
    proxy.zone = status.zone;
    proxy.role = Role::kProxy;
    proxy.up = now <= status.lease_expiry && !status.is_shutting_down;
    proxy.warm = status.has_discovery_update;
    // The boot id is used as the start time, because it also differs between processes. It is
    // halved to fit a signed integer.
    proxy.started_at = static_cast<std::int64_t>(status.boot_id >> 1);
    observed[name] = std::move(proxy);
  }
  return observed;
}

void ObservationReporter::add_machine_changes(const std::map<std::string, Machine>& observed,
                                              Command& update) const {
  for (const auto& [id, machine] : observed) {
    const auto replicated = state_.machines().find(id);
    const bool changed = replicated == state_.machines().end() || replicated->second != machine;
    if (changed && update.machines.size() < kMaxMachinesPerReport) {
      update.machines.push_back(machine);
    }
  }
  for (const auto& [id, machine] : state_.machines()) {
    if (!observed.contains(id) && update.removed_machines.size() < kMaxMachinesPerReport) {
      update.removed_machines.insert(id);
    }
  }
}

bool ObservationReporter::add_utilization(Command& update) const {
  struct Sum {
    double utilization = 0;
    int reports = 0;
  };
  std::map<std::string, Sum> sums;
  for (const auto& [proxy, status] : proxies_.proxies()) {
    for (const auto& [zone, utilization] : status.zone_utilization) {
      sums[zone].utilization += utilization;
      ++sums[zone].reports;
    }
  }
  const auto& replicated = state_.zone_utilization();
  bool changed = sums.size() != replicated.size();
  for (const auto& [zone, sum] : sums) {
    const double average = sum.utilization / sum.reports;
    update.zone_utilization[zone] = average;
    const auto before = replicated.find(zone);
    changed = changed || before == replicated.end() ||
              std::abs(before->second - average) > kUtilizationStep;
  }
  if (!changed) {
    update.zone_utilization = replicated;
  }
  return changed;
}

bool ObservationReporter::has_open_work() const {
  return !state_.workflows().empty() ||
         std::any_of(state_.requests().begin(), state_.requests().end(),
                     [](const auto& entry) { return entry.second.open(); });
}

}  // namespace beechhill::maintenance
