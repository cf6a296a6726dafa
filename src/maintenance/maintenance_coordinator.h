// One proxy's part in maintenance: its lease and the permissions that come with it, operators'
// calls, and on a voter the replicated log and what its leader does. Free of I/O and clocks; its
// times are of a monotonic clock, but for those called Unix time. docs/design/maintenance.md weighs
// the design and gives the invariants.
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

/// What a message belongs to.
enum class Channel : std::uint8_t { kRaft, kCoordination };

/// Not thread-safe.
class MaintenanceCoordinator {
 public:
  /// `storage`: of a voter, and `voter_generation` the one that it was created for; null on other
  /// proxies, and on a voter that has lost it. `boot_id` differs between processes of one name.
  /// `unix_time` is only compared with the windows of requests. What is referred to must outlive
  /// it. Throws as RaftNode().
  MaintenanceCoordinator(Time now, CoordinatorSettings settings, RaftStorage* storage,
                         std::uint32_t voter_generation, std::uint64_t boot_id, std::uint64_t seed,
                         std::function<Seconds()> unix_time);
  MaintenanceCoordinator(const MaintenanceCoordinator&) = delete;
  MaintenanceCoordinator& operator=(const MaintenanceCoordinator&) = delete;

  /// To be called at next_tick(), or when the storage has become more durable.
  void tick(Time now);
  Time next_tick() const { return next_tick_; }
  /// A message of the proxy `from`. Malformed and unknown ones are ignored.
  void receive(Time now, const std::string& from, Channel channel, std::string_view bytes);
  void update_local_view(LocalView view) { view_ = std::move(view); }
  /// The process did not run for a while: the leader may have been replaced meanwhile.
  void on_resume(Time now);

  struct Outgoing {
    std::string to;
    Channel channel = Channel::kCoordination;
    std::string bytes;
  };
  /// Removes and returns the messages to send.
  std::vector<Outgoing> take_outgoing();

  // ---- Permissions of this proxy

  /// Until when new work may be sent to the machine: Time::max() without end, Time::min() not at
  /// all.
  Time dispatch_permitted_until(const std::string& machine) const;
  /// Until when anything may be sent to any machine.
  Time serving_permitted_until() const;
  /// Of machines with a workflow, as last granted.
  const DispatchPermissionMap& dispatch_permissions() const { return lease_.permissions(); }
  /// Whether this proxy itself is to be taken out of service.
  bool is_self_out() const { return lease_.is_self_out(); }
  bool has_held_lease() const { return lease_.has_held_lease(); }

  // ---- Operators

  /// Applies the command, here or at the leader. `done` may be called before this returns.
  void submit_command(Time now, Command command, ResponseCallback done);
  /// The status of all requests, or of one and why it does not go on, as JSON.
  void query(Time now, const std::string& request, ResponseCallback done);

  // ---- Voters

  bool is_leader() const { return raft_ && raft_->is_leader(); }
  const MaintenanceStateMachine& state_machine() const { return state_machine_; }
  std::vector<Voter> voters() const { return raft_ ? raft_->voters() : std::vector<Voter>{}; }
  bool is_voter() const { return raft_ != nullptr; }
  /// The storage has failed.
  bool halted() const { return raft_ && raft_->halted(); }
  /// The storage is an older copy: it must not be used any more.
  bool rolled_back() const { return raft_ && raft_->rolled_back(); }
  /// On a voter without usable storage: the generation as which it may create a new one, and be
  /// made anew with that.
  std::optional<std::uint32_t> readmitted() const { return readmitted_; }

 private:
  bool is_ready_leader() const { return leader_ && leader_->is_ready(); }
  /// Whether a call can be forwarded to a leader.
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
  /// Both on voters only.
  std::unique_ptr<RaftNode> raft_;
  std::unique_ptr<MaintenanceLeader> leader_;
  std::optional<std::uint32_t> readmitted_;
};

}  // namespace beechhill::maintenance
