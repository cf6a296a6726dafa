// One voter of the replicated log. Combines the core of libraft with a clock, network and storage
// that the caller provides, so that simulations and the program run the same code. A message is
// sent only after the records that it depends on are durable.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "beechhill/balancer.h"
#include "maintenance/command_result.h"
#include "maintenance/maintenance_state_machine.h"
#include "maintenance/raft_storage.h"

namespace beechhill::maintenance {

struct Voter {
  std::string name;
  /// Incremented when the voter has lost its storage, since raft must then treat it as a new
  /// server.
  std::uint32_t generation = 1;
  /// Returns the voter's server address in libraft, "name#generation".
  std::string address() const { return name + "#" + std::to_string(generation); }
};
/// Returns nullopt if `address` is not of the form made by Voter::address().
std::optional<Voter> parse_voter(std::string_view address);

/// Returns the initial records of every voter's storage when the cluster is created: a first entry
/// with the configuration of all voters, which are given by name. Throws std::runtime_error if
/// libraft rejects the configuration.
std::vector<LogRecord> initial_records(const std::vector<std::string>& voters);

struct RaftTiming {
  /// Minimum time without contact to a leader before a follower becomes a candidate.
  Duration election_timeout{1'000'000};
  Duration heartbeat_interval{200'000};
};

/// Runs the raft protocol of one voter. Not thread-safe.
class RaftNode {
 public:
  /// `storage` and `state_machine` must outlive the node; the state machine must be empty. Throws
  /// std::runtime_error if libraft rejects the stored state.
  RaftNode(Time now, const Voter& self, RaftStorage& storage,
           MaintenanceStateMachine& state_machine, const RaftTiming& timing, std::uint64_t seed);
  ~RaftNode();
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  /// Advances the clock and completes operations whose records have become durable. Must be called
  /// at next_tick(), and whenever records of the storage have become durable.
  void tick(Time now);
  Time next_tick() const;
  /// Handles a message from another voter. Malformed and unknown messages are ignored.
  void receive(Time now, std::string_view bytes);

  struct Outgoing {
    /// Name of the voter to send to.
    std::string to;
    std::string bytes;
  };
  /// Removes and returns the messages that depend only on durable records.
  std::vector<Outgoing> take_outgoing();

  bool is_leader() const;
  /// Name of the leader that this voter follows; empty if unknown.
  std::string leader() const;
  std::uint64_t term() const;
  /// Whether the storage has failed. The node then takes no further part in the protocol.
  bool halted() const;
  /// Whether another voter has seen more records of this storage than the storage has now, so that
  /// the storage must not be used any more.
  bool rolled_back() const;
  std::vector<Voter> voters() const;

  /// Receives the result of the applied command, or kNotLeader or kLost.
  using ProposalCallback = std::function<void(CommandResult result)>;
  /// Proposes a command. `done` may be called before propose() returns; it is not called if the
  /// node is destroyed before the outcome is known.
  void propose(const Command& command, ProposalCallback done = {});
  std::size_t pending_proposals() const;

  /// Begins the next configuration change that readmits the voter `name` as its next generation
  /// after it has lost its storage. Readmission needs several changes, one at a time. Returns the
  /// next generation, or 0 if no change was begun: this node is not the leader, `name` is this node
  /// or no voter, another change is in progress, or libraft rejects the change.
  std::uint32_t readmit(const std::string& name);
  /// Returns the generation of `name` that has no vote yet; 0 if there is none.
  std::uint32_t joining_generation(const std::string& name) const;
  /// Names of the voters whose readmission needs further configuration changes.
  std::vector<std::string> pending_readmissions() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beechhill::maintenance
