// Whether something is wrong with the whole that makes this no time to take machines out.
#pragma once

#include <string>

#include "maintenance/coordinator_settings.h"
#include "maintenance/maintenance_state_machine.h"
#include "maintenance/proxy_tracker.h"

namespace beechhill::maintenance {

/// Free of I/O and clocks.
class IncidentDetector {
 public:
  /// Forgets the usual success ratio: this proxy has become the leader.
  void reset(Time now);
  /// The incident at `now`, its name and figures for operators; empty: none.
  std::string detect(Time now, const MaintenanceStateMachine& state, const LocalView& view,
                     ProxyTracker& proxies);

 private:
  static std::string silent_proxies(Time now, const MaintenanceStateMachine& state,
                                    const ProxyTracker& proxies);
  static std::string machines_down(const MaintenanceStateMachine& state, const LocalView& view);
  std::string goodput_fall(Time now, ProxyTracker& proxies);

  /// Part of the requests that are served, as a moving average.
  double usual_served_ratio_ = 1;
  Time averaged_at_{0};
};

}  // namespace beechhill::maintenance
