// Commits the leader's observations to the replicated state: the endpoint list, utilization,
// proxies and incidents.
#pragma once

#include <map>
#include <string>

#include "maintenance/incident_detector.h"
#include "maintenance/leader_proposals.h"

namespace beechhill::maintenance {

/// Compares the observations of the leader's proxy with the replicated ones and proposes updates.
/// The constructor's arguments must outlive the object.
class ObservationReporter {
 public:
  ObservationReporter(const MaintenanceStateMachine& state, ProxyTracker& proxies,
                      LeaderProposals& proposals)
      : state_(state), proxies_(proxies), proposals_(proposals) {}

  /// Must be called when this proxy becomes the leader. `first_report` is the time of the first
  /// report.
  void reset(Time now, Time first_report);
  /// At most once a second, proposes an update if observations have changed. If nothing changed but
  /// requests or workflows are open, proposes to advance the time of the state.
  void tick(Time now, const LocalView& view);
  /// The incident detected at the last report; empty if there was none.
  const std::string& incident() const { return incident_; }

 private:
  std::map<std::string, Machine> observed_machines(Time now, const LocalView& view) const;
  void add_machine_changes(const std::map<std::string, Machine>& observed, Command& update) const;
  /// Adds the average utilization of each zone. If no zone changed enough to be reported, keeps the
  /// replicated values and returns false.
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
