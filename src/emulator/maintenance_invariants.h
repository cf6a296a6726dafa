// The safety properties of maintenance, checked against a simulation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "beechhill/balancer.h"
#include "maintenance/maintenance_state_machine.h"

namespace beechhill::emulator {

/// How often each property was violated, and the first few violations in words.
struct MaintenanceVerdict {
  /// Requests that began, or were in flight, while their machine was out.
  std::uint64_t attempts_during_maintenance = 0;
  /// Committed states, or machines in work, beyond the disruption budget.
  std::uint64_t budget_exceeded = 0;
  /// Replicas that hold different states of one index, or one fencing token of two machines.
  std::uint64_t diverged = 0;
  std::string text;
  std::uint64_t all() const { return attempts_during_maintenance + budget_exceeded + diverged; }
};

class MaintenanceInvariants {
 public:
  explicit MaintenanceInvariants(const maintenance::DisruptionBudget& budget) : budget_(budget) {}

  /// Of the replica of voter `voter`. Cheap where it has applied nothing since the last call.
  void check_replica(Time now, std::size_t voter,
                     const maintenance::MaintenanceStateMachine& state);
  /// By the machines themselves, however many leaders there may be.
  void check_machines_in_work(Time now, std::uint32_t count);
  void report_sent_to_out(Time now, const std::string& what);

  const MaintenanceVerdict& verdict() const { return verdict_; }

 private:
  void check_agreement(Time now, const maintenance::MaintenanceStateMachine& state);
  void check_fencing_tokens(Time now, const maintenance::MaintenanceStateMachine& state);
  void check_budget(Time now, const maintenance::MaintenanceStateMachine& state);
  void report(Time now, std::uint64_t& count, const std::string& what);

  const maintenance::DisruptionBudget budget_;
  /// Last index checked, by voter.
  std::map<std::size_t, maintenance::LogIndex> checked_indexes_;
  std::map<maintenance::LogIndex, std::size_t> state_hashes_;
  std::map<maintenance::FencingToken, std::string> token_machines_;
  MaintenanceVerdict verdict_;
};

}  // namespace beechhill::emulator
