// What the voters have settled about machines taken out for work: requests, the roster of proxies,
// the list and load figures that they agreed to go by, and the course of each machine. Changed by
// settled commands alone and by nothing else, so that whoever holds the same commands holds the
// same ledger. Free of I/O and clocks; its time is what the commands say.
// docs/design/maintenance.md weighs the ways.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace beechhill::maintenance {

using Seconds = std::int64_t;    // Unix time, or a span, in whole seconds: people plan in minutes
using LogIndex = std::uint64_t;  // of a settled command
using FencingToken = std::uint64_t;  // of one course of a machine; later ones are higher

enum class Role : std::uint8_t { kBackend, kProxy };

struct Machine {
  std::string id, zone, cell, instance_type;
  Role role = Role::kBackend;
  double relative_capacity = 1;  // of what its tier can do, against the others
  bool operator==(const Machine&) const = default;
  bool up = true;  // listed, in service, not barred by hand
  bool warm = true;
  std::int64_t started_at = 0;  // of its present start, as the list tells it
};

struct MachineSelector {  // what a request is for: those that match all that is not empty
  Role role = Role::kBackend;
  std::set<std::string> ids;
  std::string zone, cell, kind;
  bool matches(const Machine& m) const;
};

struct Request {
  std::string id;
  MachineSelector select;
  std::uint32_t max_concurrent = 1;
  Seconds work_duration = 0;              // expected, of one machine's work; 0: not said
  Seconds not_before = 0, not_after = 0;  // 0: any time
  std::int32_t priority = 0;
  std::string requested_by, reason;
  // Settled:
  bool approved = false, on_hold = false, cancelled = false;
  Seconds requested_at = 0;
  std::set<std::string> completed_machines;       // machines
  std::map<std::string, Seconds> deferred_until;  // machines that were called back: not before then
  bool open() const { return !cancelled && !ended; }
  bool ended = false;  // nothing is left of it
};

// What a machine goes through. From kAnnounced on it counts as out.
enum class WorkflowState : std::uint8_t {
  kAnnounced,  // all proxies are told that it is next, none has stopped sending
  kDraining,   // nothing new goes to it; proxies confirm when nothing of theirs is open there
  kDrained,    // all have confirmed
  kOut,        // staff may work on it
  kWarming,    // back, and cold
};
const char* name(WorkflowState step);

struct MaintenanceWorkflow {
  std::string request, machine;
  FencingToken fencing_token = 0;
  WorkflowState state = WorkflowState::kAnnounced;
  LogIndex state_index = 0;  // of the command that brought it to this step
  Seconds state_since = 0;
  std::int64_t started_at = 0;              // of the machine, when it was said to be out
  std::set<std::string> confirmed_proxies;  // proxies, for kEvacuating
};

// What must be left; settled, so that all reckon with the same. Equal in the operator files of the
// voters.
struct DisruptionBudget {
  double capacity_reserve = 0.25;  // of what the load needs, on top of it
  std::uint32_t max_out = 1, max_out_per_zone = 1, max_out_per_cell = 1;
  bool preserve_last_in_zone = false,
       preserve_last_in_cell =
           false;  // never the last of a zone, or a cell: it holds the memory of a keyed class
  std::uint32_t min_proxies_per_zone = 1;  // in each zone
  Seconds drain_timeout = 60;              // then a machine is called back
  Seconds deferral = 60;                   // and tried again so much later
  Seconds priority_aging_interval =
      600;                    // a request that waited so long counts as one priority higher
  Seconds quiet_period = 30;  // without trouble, before an incident's pause ends
  bool needs_approval = true;
  bool operator==(const DisruptionBudget&) const = default;
};

// ---- Commands

enum class CommandType : std::uint8_t {
  kSubmitRequest,
  kApproveRequest,
  kHoldRequest,
  kResumeRequest,
  kCancelRequest,
  kCompleteWork,  // staff's
  kForgetProxy,   // staff's: that proxy is off for good, or sends nothing
  kSetDisruptionBudget,
  kUpdateObservations,
  kAdvanceTime,
  kAddProxy,
  kRemoveProxy,  // the leader's
  kAnnounceDrain,
  kStartDrain,
  kConfirmDrained,
  kMarkOut,
  kMarkWarming,
  kCallBack,
};

struct Command {
  CommandType type = CommandType::kUpdateObservations;
  Seconds issued_at = 0;
  std::string id;  // of a request; of staff's command, so that one that comes twice counts once
  std::string machine, proxy, issued_by;
  FencingToken fencing_token = 0;
  std::optional<Request> request;
  std::optional<DisruptionBudget> disruption_budget;
  // Facts: machines that are new or have changed, and those that have gone from the list.
  std::vector<Machine> machines;
  std::set<std::string> removed_machines;
  std::map<std::string, double> zone_utilization;  // of a zone's width, 0 to 1
  std::string incident;                            // an incident; empty: none
};

std::string encode(const Command& command);
std::optional<Command> decode(std::string_view bytes);

inline constexpr std::size_t kMaxRequests = 200;  // open or lately ended
inline constexpr std::size_t kMaxMachines = 4'000;
inline constexpr std::size_t kMaxProxies = 1'000;
inline constexpr std::size_t kMaxTextBytes = 200;

class MaintenanceStateMachine {
 public:
  // Applies a settled command; the index counts up by one or more. Returns null, or why it changed
  // nothing, as a reason code.
  const char* apply(LogIndex index, const Command& command);

  // The order: what is to be settled next as far as settled facts decide it, given which index each
  // proxy of the roster has shown to hold (a proxy that is missing has shown none). A pure
  // function.
  std::vector<Command> next_commands(const std::map<std::string, LogIndex>& shown) const;
  // Why a request does not go on, a line for each reason; empty: nothing stands in its way.
  std::vector<std::string> explain(const std::string& request,
                                   const std::map<std::string, LogIndex>& shown) const;

  // Whether proxies may send new work to a machine. `announced`: only those that hold a lease may.
  struct DispatchPermission {
    bool dispatch_forbidden = false, lease_required = false;
    FencingToken fencing_token = 0;
  };
  std::map<std::string, DispatchPermission> dispatch_permissions(
      Role role) const;  // of machines in a course

  LogIndex applied_index() const { return index_; }
  Seconds time() const { return time_; }
  const std::map<std::string, Request>& requests() const { return requests_; }
  const std::map<std::string, MaintenanceWorkflow>& workflows() const {
    return courses_;
  }  // by machine
  const std::set<std::string>& proxies() const { return roster_; }
  const DisruptionBudget& disruption_budget() const { return bounds_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  const std::map<std::string, double>& zone_utilization() const { return use_; }
  bool paused() const { return time_ < calm_from_; }
  const std::string& incident() const { return trouble_; }

  std::string snapshot() const;
  bool restore(std::string_view bytes);  // false where it is none: nothing has changed then

 private:
  const char* ask(const Command& c);
  const char* of_request(const Command& c);
  const char* announce(const Command& c);
  const char* advance(const Command& c);
  const char* confirm(const Command& c);
  void facts(const Command& c);
  void drop(const std::string& machine, bool done);
  void tidy();
  // What the machines of one role show together: summed once for all that is asked of them.
  struct Place {
    std::uint32_t out = 0, serving = 0;  // in a course; up, warm and in none
    double left = 0, needed = 0;         // widths of those that serve; what the load takes
  };
  struct Room {
    Place whole;
    std::map<std::string, Place> zones;
    std::map<std::pair<std::string, std::string>, Place> cells;  // by zone and cell
    std::uint32_t unlisted = 0;  // in a course, and gone from the list: they count everywhere
  };
  Room room(Role role) const;
  bool serves(const Machine& m) const { return m.up && m.warm && !out(m); }
  // Why that machine may not be announced now; empty: it may. `room`: of its role.
  std::string stands_in_way(const Request& r, const Machine& m, const Room& room) const;
  std::vector<const Request*> in_order() const;
  std::int64_t rank(const Request& r) const;
  bool out(const Machine& m) const { return courses_.contains(m.id); }
  Role role_of(const MaintenanceWorkflow& c) const;
  std::string waits_for(const MaintenanceWorkflow& c,
                        const std::map<std::string, LogIndex>& shown) const;

  LogIndex index_ = 0;
  Seconds time_ = 0, calm_from_ = 0;
  FencingToken next_fence_ = 1;
  DisruptionBudget bounds_;
  std::string trouble_;
  std::map<std::string, Request> requests_;
  std::map<std::string, MaintenanceWorkflow> courses_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, double> use_;
  std::set<std::string> roster_;
};

}  // namespace beechhill::maintenance
