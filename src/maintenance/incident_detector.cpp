#include "maintenance/incident_detector.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace beechhill::maintenance {
namespace {

// Maximum fraction of the proxies that have no valid lease; a larger one is reported as an
// incident.
constexpr double kSilentProxyRatio = 0.25;
// Maximum fractions of the listed machines, in total and per zone, that are down without having a
// workflow; larger ones are reported as an incident.
constexpr double kDownMachineRatio = 0.1;
constexpr double kLostZoneRatio = 0.5;
// Maximum drop of the served ratio below its moving average; a larger one is reported as an
// incident.
constexpr double kMaxGoodputDrop = 0.1;
// Time constant of the moving average of the served ratio, in seconds.
constexpr double kAveragingTimeSeconds = 60;
// Minimum number of requests since the last check. With fewer, the served ratio is not significant
// and is not checked.
constexpr std::uint64_t kMinRequests = 50;

struct MachineCounts {
  double down = 0;
  double all = 0;
  void add(bool is_down) {
    down += is_down ? 1 : 0;
    ++all;
  }
};

}  // namespace

void IncidentDetector::reset(Time now) {
  average_served_ratio_ = 1;
  averaged_at_ = now;
}

std::string IncidentDetector::detect(Time now, const MaintenanceStateMachine& state,
                                     const LocalView& view, ProxyTracker& proxies) {
  std::string incident = silent_proxies(now, state, proxies);
  if (incident.empty()) {
    incident = machines_down(state, view);
  }
  return incident.empty() ? goodput_drop(now, proxies) : incident;
}

std::string IncidentDetector::silent_proxies(Time now, const MaintenanceStateMachine& state,
                                             const ProxyTracker& proxies) {
  const auto& all = state.proxies();
  const auto silent = std::count_if(all.begin(), all.end(), [&](const std::string& proxy) {
    return now > proxies.lease_expiry(proxy);
  });
  if (static_cast<double>(silent) <= kSilentProxyRatio * static_cast<double>(all.size())) {
    return {};
  }
  return "silent_proxies: " + std::to_string(silent) + " of " + std::to_string(all.size());
}

std::string IncidentDetector::machines_down(const MaintenanceStateMachine& state,
                                            const LocalView& view) {
  MachineCounts total;
  std::map<std::string, MachineCounts> zones;
  for (const Machine& machine : view.machines) {
    const bool is_down = !machine.up && !state.workflows().contains(machine.id);
    total.add(is_down);
    zones[machine.zone].add(is_down);
  }
  for (const auto& [zone, counts] : zones) {
    if (counts.down > kLostZoneRatio * counts.all) {
      return "zone_lost: " + zone;
    }
  }
  if (total.down <= kDownMachineRatio * total.all) {
    return {};
  }
  return "machines_down: " + std::to_string(static_cast<int>(total.down)) + " of " +
         std::to_string(static_cast<int>(total.all));
}

std::string IncidentDetector::goodput_drop(Time now, ProxyTracker& proxies) {
  const auto [served, unserved] = proxies.take_request_counts();
  const std::uint64_t requests = served + unserved;
  if (requests < kMinRequests) {
    return {};
  }
  const double served_ratio = static_cast<double>(served) / static_cast<double>(requests);
  if (served_ratio < average_served_ratio_ - kMaxGoodputDrop) {
    return "goodput: " + std::to_string(static_cast<int>(100 * served_ratio)) + " of 100 served";
  }
  const std::chrono::duration<double> elapsed = now - std::exchange(averaged_at_, now);
  average_served_ratio_ += (served_ratio - average_served_ratio_) *
                           std::min(1.0, elapsed.count() / kAveragingTimeSeconds);
  return {};
}

}  // namespace beechhill::maintenance
