// Data model of maintenance: machines, operators' requests to take machines out of service, the
// workflow that each machine goes through, and the disruption budget, which limits how many
// machines may be out at a time. The state machine in maintenance_state_machine.h changes these
// values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace beechhill::maintenance {

/// Unix time, or a duration, in whole seconds.
using Seconds = std::int64_t;
/// Position of a command in the replicated log.
using LogIndex = std::uint64_t;
/// Identifies one workflow of a machine. Later workflows have higher tokens; 0 means none.
using FencingToken = std::uint64_t;

/// Maximum number of requests that are open or were submitted within the last day.
inline constexpr std::size_t kMaxRequests = 200;
inline constexpr std::size_t kMaxMachines = 4'000;
inline constexpr std::size_t kMaxProxies = 1'000;
/// Maximum size of any name, id or reason, in commands and on the wire.
inline constexpr std::size_t kMaxTextBytes = 200;

enum class Role : std::uint8_t { kBackend, kProxy };

/// A backend or a proxy, as observed by the leader.
struct Machine {
  std::string id;
  std::string zone;
  std::string cell;
  std::string instance_type;
  Role role = Role::kBackend;
  /// Capacity relative to the other machines of the same tier.
  double relative_capacity = 1;
  /// Whether the machine is listed, in service and not excluded by an operator.
  bool up = true;
  /// False during the machine's slow start.
  bool warm = true;
  /// Start time of the machine's current process, as given by the endpoint list. For a proxy, a
  /// number derived from its boot id, which differs between its processes.
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

/// An operator's request to take each of the selected machines out of service once.
struct Request {
  std::string id;
  MachineSelector selector;
  /// Maximum number of machines that are out for this request at the same time.
  std::uint32_t max_concurrent = 1;
  /// Expected duration of the work on one machine; 0 if unknown.
  Seconds work_duration = 0;
  /// Maintenance window as Unix times; 0 means unbounded.
  Seconds not_before = 0;
  Seconds not_after = 0;
  std::int32_t priority = 0;
  std::string requested_by;
  std::string reason;

  // The following fields are set by the state machine and ignored in a submitted request.
  bool approved = false;
  bool on_hold = false;
  bool cancelled = false;
  /// Whether work on all selected machines is complete.
  bool ended = false;
  Seconds requested_at = 0;
  std::set<std::string> completed_machines;
  /// Machines whose drain was aborted, and the time at which it may be retried.
  std::map<std::string, Seconds> deferred_until;

  bool open() const { return !cancelled && !ended; }
};

/// State of one machine's workflow. In all states the machine counts as out of service.
enum class WorkflowState : std::uint8_t {
  /// Proxies are notified that the machine is about to be drained. Those that hold a valid lease
  /// may still send requests to the machine.
  kAnnounced,
  /// Proxies send no new requests to the machine, and confirm once they have none in flight to it.
  kDraining,
  /// Every proxy has confirmed the drain.
  kDrained,
  /// Operators may work on the machine.
  kOut,
  /// The machine is in service again, in its slow start.
  kWarming,
};

/// Returns the state's name in operators' output, a string literal.
const char* name(WorkflowState state);

/// Progress of one machine through its maintenance for one request.
struct MaintenanceWorkflow {
  /// Ids of the request and of the machine.
  std::string request;
  std::string machine;
  FencingToken fencing_token = 0;
  WorkflowState state = WorkflowState::kAnnounced;
  /// Log index of the command that led to the current state.
  LogIndex state_index = 0;
  Seconds state_since = 0;
  /// Machine::started_at of the process that was taken out of service.
  std::int64_t started_at = 0;
  /// Proxies that have confirmed the drain.
  std::set<std::string> confirmed_proxies;
};

/// Limits on how many machines may be out of service at the same time. The budget is replicated so
/// that all voters decide by the same values.
struct DisruptionBudget {
  /// Capacity that must remain in service beyond what the load requires, as a fraction of the
  /// required capacity.
  double capacity_reserve = 0.25;
  std::uint32_t max_out = 1;
  std::uint32_t max_out_per_zone = 1;
  std::uint32_t max_out_per_cell = 1;
  /// Whether the last machine in service of a zone or cell must not be taken out, because it holds
  /// the deduplication state of requests with an idempotency key.
  bool preserve_last_in_zone = false;
  bool preserve_last_in_cell = false;
  std::uint32_t min_proxies_per_zone = 1;
  /// Maximum time that a workflow may spend in each state before kOut. After it the drain is
  /// aborted.
  Seconds drain_timeout = 60;
  /// Delay before an aborted drain is retried.
  Seconds deferral = 60;
  /// The priority of a request rises by one for each such interval that the request has waited.
  Seconds priority_aging_interval = 600;
  /// Time without an incident after which the pause caused by the last incident ends.
  Seconds quiet_period = 30;
  bool needs_approval = true;
  bool operator==(const DisruptionBudget&) const = default;
};

/// Whether, and under which condition, proxies may send new requests to a machine with a workflow.
struct DispatchPermission {
  bool dispatch_forbidden = false;
  /// Whether only proxies that hold a valid lease may send new requests to the machine.
  bool lease_required = false;
  FencingToken fencing_token = 0;
};
/// Permissions by machine id.
using DispatchPermissionMap = std::map<std::string, DispatchPermission>;

}  // namespace beechhill::maintenance
