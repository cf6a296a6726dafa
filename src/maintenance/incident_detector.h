// Detects incidents in the cluster during which no further machines may be taken out of service.
#pragma once

#include <string>

#include "maintenance/coordinator_settings.h"
#include "maintenance/maintenance_state_machine.h"
#include "maintenance/proxy_tracker.h"

namespace beechhill::maintenance {

/// Compares the lease requests of the proxies, the endpoint list and the outcomes of requests with
/// fixed limits. Performs no I/O and reads no clock.
class IncidentDetector {
 public:
  /// Resets the average served ratio to 1. Must be called when this proxy becomes the leader.
  void reset(Time now);
  /// Returns the incident at `now`, as its name and figures for operators; empty if there is none.
  std::string detect(Time now, const MaintenanceStateMachine& state, const LocalView& view,
                     ProxyTracker& proxies);

 private:
  static std::string silent_proxies(Time now, const MaintenanceStateMachine& state,
                                    const ProxyTracker& proxies);
  static std::string machines_down(const MaintenanceStateMachine& state, const LocalView& view);
  std::string goodput_drop(Time now, ProxyTracker& proxies);

  /// Moving average of the served ratio, the fraction of requests that are served.
  double average_served_ratio_ = 1;
  Time averaged_at_{0};
};

}  // namespace beechhill::maintenance
