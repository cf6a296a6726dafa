// The safety properties of maintenance, checked against a simulation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "beechhill/balancer.h"
#include "maintenance/maintenance_state_machine.h"

namespace beechhill::emulator {

/// Number of violations of each property, and descriptions of the first few.
struct MaintenanceVerdict {
  /// Requests that were sent to a machine, or were in flight to it, while it was out of service.
  std::uint64_t attempts_during_maintenance = 0;
  /// Committed states, or sets of machines that are worked on, that exceed the disruption budget.
  std::uint64_t budget_exceeded = 0;
  /// Replicas whose states differ at the same log index, and fencing tokens issued for two
  /// machines.
  std::uint64_t diverged = 0;
  std::string text;
  std::uint64_t all() const { return attempts_during_maintenance + budget_exceeded + diverged; }
};

class MaintenanceInvariants {
 public:
  explicit MaintenanceInvariants(const maintenance::DisruptionBudget& budget) : budget_(budget) {}

  /// Checks the state of a voter's replica. Returns quickly if the replica has applied nothing
  /// since the last call.
  void check_replica(Time now, std::size_t voter,
                     const maintenance::MaintenanceStateMachine& state);
  /// Checks the number of machines that operators actually work on against the budget, whatever the
  /// proxies have committed.
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
