// Checks the safety properties of maintenance in a simulation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "beechhill/balancer.h"
#include "maintenance/maintenance_state_machine.h"

namespace beechhill::emulator {

/// The violations that MaintenanceInvariants has found.
struct MaintenanceVerdict {
  /// Number of requests that were sent to a machine while it was out of service, and of proxies
  /// that had requests in flight to a machine when the work on it began.
  std::uint64_t attempts_during_maintenance = 0;
  /// Number of committed states that exceed the disruption budget, and of checks that found more
  /// machines worked on than the budget allows.
  std::uint64_t budget_exceeded = 0;
  /// Number of replica states that differ from another replica's state at the same log index, and
  /// of checked workflows whose fencing token had been issued for another machine.
  std::uint64_t diverged = 0;
  /// Descriptions of the first violations, one per line.
  std::string text;
  std::uint64_t all() const { return attempts_during_maintenance + budget_exceeded + diverged; }
};

/// Checks the safety properties and counts their violations.
class MaintenanceInvariants {
 public:
  explicit MaintenanceInvariants(const maintenance::DisruptionBudget& budget) : budget_(budget) {}

  /// Checks the state of a voter's replica. Returns quickly if the replica has applied nothing
  /// since the last call.
  void check_replica(Time now, std::size_t voter,
                     const maintenance::MaintenanceStateMachine& state);
  /// Checks the number of machines that operators actually work on against the disruption budget,
  /// independently of the committed state.
  void check_machines_in_work(Time now, std::uint32_t count);
  void report_dispatch_during_maintenance(Time now, const std::string& what);

  const MaintenanceVerdict& verdict() const { return verdict_; }

 private:
  void check_agreement(Time now, const maintenance::MaintenanceStateMachine& state);
  void check_fencing_tokens(Time now, const maintenance::MaintenanceStateMachine& state);
  void check_budget(Time now, const maintenance::MaintenanceStateMachine& state);
  void report(Time now, std::uint64_t& count, const std::string& what);

  const maintenance::DisruptionBudget budget_;
  /// The last log index checked, by voter.
  std::map<std::size_t, maintenance::LogIndex> checked_indexes_;
  std::map<maintenance::LogIndex, std::size_t> state_hashes_;
  std::map<maintenance::FencingToken, std::string> token_machines_;
  MaintenanceVerdict verdict_;
};

}  // namespace beechhill::emulator
