// Maintenance on one proxy: its lease and the permissions that it carries, operators' calls, and,
// on a voter, the replicated log and the duties of the leader. Performs no I/O and reads no clock;
// times are of a monotonic clock unless they are called Unix time. docs/design/maintenance.md
// discusses the design and states the invariants.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "maintenance/coordination_messages.h"
#include "maintenance/coordinator_settings.h"
#include "maintenance/forwarded_calls.h"
#include "maintenance/lease_client.h"
#include "maintenance/maintenance_leader.h"
#include "maintenance/maintenance_state_machine.h"
#include "maintenance/raft_node.h"

namespace beechhill::maintenance {

/// Protocol to which a message belongs.
enum class Channel : std::uint8_t { kRaft, kCoordination };

/// Coordinates maintenance on one proxy. Not thread-safe.
class MaintenanceCoordinator {
 public:
  /// `storage` is the storage of a voter, created for the generation `voter_generation`; null on
  /// proxies that do not vote and on a voter that has lost its storage. `boot_id` must differ
  /// between processes that run under the same name. `unix_time` is only compared with the
  /// maintenance windows of requests. `storage` and all objects that `unix_time` refers to must
  /// outlive the coordinator. Throws std::runtime_error if libraft rejects the stored state.
  MaintenanceCoordinator(Time now, CoordinatorSettings settings, RaftStorage* storage,
                         std::uint32_t voter_generation, std::uint64_t boot_id, std::uint64_t seed,
                         std::function<Seconds()> unix_time);
  MaintenanceCoordinator(const MaintenanceCoordinator&) = delete;
  MaintenanceCoordinator& operator=(const MaintenanceCoordinator&) = delete;

  /// Must be called at next_tick(), and when records of the storage have become durable.
  void tick(Time now);
  Time next_tick() const { return next_tick_; }
  /// Handles a message from the proxy `from`. Malformed and unknown messages are ignored.
  void receive(Time now, const std::string& from, Channel channel, std::string_view bytes);
  void update_local_view(LocalView view) { view_ = std::move(view); }
  /// Must be called when the process resumes after a suspension, in which the leader may have been
  /// replaced.
  void on_resume(Time now);

  struct Outgoing {
    std::string to;
    Channel channel = Channel::kCoordination;
    std::string bytes;
  };
  /// Removes and returns the messages to send.
  std::vector<Outgoing> take_outgoing();

  // ---- Permissions of this proxy

  /// Time until which new requests may be sent to the machine; Time::max() if unlimited,
  /// Time::min() if none may be sent.
  Time dispatch_permitted_until(const std::string& machine) const;
  /// Time until which this proxy may send requests at all; Time::max() if unlimited, Time::min() if
  /// it may send none.
  Time serving_permitted_until() const;
  /// Permissions of machines with a workflow, as last granted.
  const DispatchPermissionMap& dispatch_permissions() const { return lease_.permissions(); }
  /// Whether this proxy must drain itself because it is being taken out of service.
  bool is_self_in_maintenance() const { return lease_.is_self_out(); }
  bool has_held_lease() const { return lease_.has_held_lease(); }

  // ---- Operators

  /// Proposes the command if this proxy is the leader, otherwise forwards it to the leader. `done`
  /// may be called before this function returns.
  void submit_command(Time now, Command command, ResponseCallback done);
  /// Passes `done` the status of all requests as JSON or, if `request` is not empty, that of the
  /// request with this id and the reasons why it waits.
  void query(Time now, const std::string& request, ResponseCallback done);

  // ---- Voters

  bool is_leader() const { return raft_ && raft_->is_leader(); }
  const MaintenanceStateMachine& state_machine() const { return state_machine_; }
  std::vector<Voter> voters() const { return raft_ ? raft_->voters() : std::vector<Voter>{}; }
  bool is_voter() const { return raft_ != nullptr; }
  /// Whether the storage has failed.
  bool halted() const { return raft_ && raft_->halted(); }
  /// Whether the storage is an older copy, which must not be used any more.
  bool rolled_back() const { return raft_ && raft_->rolled_back(); }
  /// On a voter without usable storage, the generation for which it may create a new storage; empty
  /// until the leader has sent it. The coordinator must then be constructed again with that
  /// storage.
  std::optional<std::uint32_t> readmitted() const { return readmitted_; }

 private:
  bool is_ready_leader() const { return leader_ && leader_->is_ready(); }
  /// Whether an operator's call can be forwarded to a leader.
  bool can_forward() const;
  bool has_lost_storage() const;
  void request_lease(Time now);
  void send(const std::string& to, CoordinationMessage message);

  void handle(Time now, const std::string& from, const LeaseRequest& request);
  void handle(Time now, const std::string& from, const LeaseGrant& grant);
  void handle(Time now, const std::string& from, const NotLeader& answer);
  void handle(Time now, const std::string& from, const LeadershipCheck& check);
  void handle(Time now, const std::string& from, const LeadershipConfirmation& confirmation);
  void handle(Time now, const std::string& from, const Submit& call);
  void handle(Time now, const std::string& from, const SubmitResult& result);
  void handle(Time now, const std::string& from, const Query& call);
  void handle(Time now, const std::string& from, const QueryResult& result);
  void handle(Time now, const std::string& from, const Readmission& readmission);

  const CoordinatorSettings settings_;
  const std::function<Seconds()> unix_time_;
  MaintenanceStateMachine state_machine_;
  LocalView view_;
  std::vector<Outgoing> outgoing_;
  Time now_;
  Time next_tick_;
  LeaseClient lease_;
  ForwardedCalls calls_;
  /// `raft_` and `leader_` are null if the constructor was given no storage.
  std::unique_ptr<RaftNode> raft_;
  std::unique_ptr<MaintenanceLeader> leader_;
  std::optional<std::uint32_t> readmitted_;
};

}  // namespace beechhill::maintenance
