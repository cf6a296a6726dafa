// The data of maintenance: machines, operators' requests to take machines out of service, the
// workflow that one machine goes through, and the disruption budget that bounds how many may be out
// at a time. Plain values without behaviour of their own; who changes them is
// maintenance_state_machine.h.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace beechhill::maintenance {

/// Unix time, or a duration, in whole seconds: operators plan in minutes.
using Seconds = std::int64_t;
/// Position of a command in the replicated log.
using LogIndex = std::uint64_t;
/// Identifies one workflow of a machine. Later workflows have higher tokens; 0 is none.
using FencingToken = std::uint64_t;

/// Requests that are open or ended within the last day.
inline constexpr std::size_t kMaxRequests = 200;
inline constexpr std::size_t kMaxMachines = 4'000;
inline constexpr std::size_t kMaxProxies = 1'000;
/// Of any name, id or reason, in a command and on the wire.
inline constexpr std::size_t kMaxTextBytes = 200;

enum class Role : std::uint8_t { kBackend, kProxy };

struct Machine {
  std::string id;
  std::string zone;
  std::string cell;
  std::string instance_type;
  Role role = Role::kBackend;
  /// Work that it can do, relative to the other machines of its tier.
  double relative_capacity = 1;
  /// Listed, in service and not excluded by an operator.
  bool up = true;
  /// False during its slow start.
  bool warm = true;
  /// When its present process started, as the endpoint list has it.
  std::int64_t started_at = 0;
  bool operator==(const Machine&) const = default;
};

/// Selects the machines that match every field that is not empty.
struct MachineSelector {
  Role role = Role::kBackend;
  std::set<std::string> ids;
  std::string zone;
  std::string cell;
  std::string instance_type;
  bool matches(const Machine& machine) const;
};

/// An operator's request to take the selected machines out of service, each of them once.
struct Request {
  std::string id;
  MachineSelector selector;
  std::uint32_t max_concurrent = 1;
  /// Expected, of the work on one machine; 0: unknown.
  Seconds work_duration = 0;
  /// Unix times; 0: unbounded.
  Seconds not_before = 0;
  Seconds not_after = 0;
  std::int32_t priority = 0;
  std::string requested_by;
  std::string reason;

  // The state machine's own: ignored in a submitted request.
  bool approved = false;
  bool on_hold = false;
  bool cancelled = false;
  /// All machines that it selects are done.
  bool ended = false;
  Seconds requested_at = 0;
  std::set<std::string> completed_machines;
  /// Machines whose drain was called back, and when they may be tried again.
  std::map<std::string, Seconds> deferred_until;

  bool open() const { return !cancelled && !ended; }
};

/// State of one machine's workflow. From kAnnounced on the machine counts as out of service.
enum class WorkflowState : std::uint8_t {
  /// Proxies learn that the machine is next and still send to it, as long as they hold a lease.
  kAnnounced,
  /// Proxies send nothing new, and confirm once nothing of theirs is in flight there.
  kDraining,
  /// Every proxy has confirmed.
  kDrained,
  /// Operators may work on it.
  kOut,
  /// In service again, during its slow start.
  kWarming,
};

/// The state's name in operators' output, a string literal.
const char* name(WorkflowState state);

struct MaintenanceWorkflow {
  /// Ids.
  std::string request;
  std::string machine;
  FencingToken fencing_token = 0;
  WorkflowState state = WorkflowState::kAnnounced;
  /// Of the command that led to this state.
  LogIndex state_index = 0;
  Seconds state_since = 0;
  /// Machine::started_at of the process that was taken out.
  std::int64_t started_at = 0;
  /// Proxies that have confirmed the drain.
  std::set<std::string> confirmed_proxies;
};

/// Bounds on what may be out of service together. Replicated, so that all voters decide by the same
/// figures.
struct DisruptionBudget {
  /// Capacity that must remain in service beyond what the load needs, as a part of that.
  double capacity_reserve = 0.25;
  std::uint32_t max_out = 1;
  std::uint32_t max_out_per_zone = 1;
  std::uint32_t max_out_per_cell = 1;
  /// Never take the last machine of a zone or cell: it holds the deduplication state of requests
  /// with an idempotency key.
  bool preserve_last_in_zone = false;
  bool preserve_last_in_cell = false;
  std::uint32_t min_proxies_per_zone = 1;
  /// After so long in a state before kOut the drain is called back.
  Seconds drain_timeout = 60;
  /// How long a machine that was called back is left alone.
  Seconds deferral = 60;
  /// A request's priority rises by one for each interval that it has waited.
  Seconds priority_aging_interval = 600;
  /// Without an incident, before the pause that one caused ends.
  Seconds quiet_period = 30;
  bool needs_approval = true;
  bool operator==(const DisruptionBudget&) const = default;
};

/// Whether proxies may send new work to a machine that has a workflow.
struct DispatchPermission {
  bool dispatch_forbidden = false;
  /// Only proxies that hold a lease may send.
  bool lease_required = false;
  FencingToken fencing_token = 0;
};
/// By machine id.
using DispatchPermissionMap = std::map<std::string, DispatchPermission>;

}  // namespace beechhill::maintenance
