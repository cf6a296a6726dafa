// Brings what the leader observes into the replicated state: the endpoint list, the load, the
// proxies and incidents.
#pragma once

#include <map>
#include <string>

#include "maintenance/incident_detector.h"
#include "maintenance/leader_proposals.h"

namespace beechhill::maintenance {

/// What is referred to must outlive it.
class ObservationReporter {
 public:
  ObservationReporter(const MaintenanceStateMachine& state, ProxyTracker& proxies,
                      LeaderProposals& proposals)
      : state_(state), proxies_(proxies), proposals_(proposals) {}

  /// This proxy has become the leader: the first report is at `first_report`.
  void reset(Time now, Time first_report);
  /// Proposes an update where something changed, once a second at most; without any, an advance of
  /// the state's time where something waits for that.
  void tick(Time now, const LocalView& view);
  /// As of the last report; empty: none.
  const std::string& incident() const { return incident_; }

 private:
  std::map<std::string, Machine> observed_machines(Time now, const LocalView& view) const;
  void add_machine_changes(const std::map<std::string, Machine>& observed, Command& update) const;
  /// Whether the utilization differs enough to be reported; else the replicated one is kept.
  bool add_utilization(Command& update) const;
  bool has_open_work() const;

  const MaintenanceStateMachine& state_;
  ProxyTracker& proxies_;
  LeaderProposals& proposals_;
  IncidentDetector incidents_;
  std::string incident_;
  Time next_report_{0};
};

}  // namespace beechhill::maintenance
