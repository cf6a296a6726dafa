// One voter of the replicated log: libraft's core, given our clock, network and storage, so that
// the same code runs in the simulation and in the program. Nothing is sent before the records that
// it rests on are durable.
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
  /// Grows when the voter has lost its storage: for raft it is a new server then.
  std::uint32_t generation = 1;
  /// "name#generation".
  std::string address() const { return name + "#" + std::to_string(generation); }
};
/// Nothing where `address` is none that Voter::address() makes.
std::optional<Voter> parse_voter(std::string_view address);

/// What each voter's storage begins with when the cluster is created: a first entry with the
/// configuration of all voters, given by name. Throws std::runtime_error where libraft refuses it.
std::vector<LogRecord> initial_records(const std::vector<std::string>& voters);

struct RaftTiming {
  /// Shortest time without contact to a leader before a follower becomes a candidate.
  Duration election_timeout{1'000'000};
  Duration heartbeat_interval{200'000};
};

/// Not thread-safe.
class RaftNode {
 public:
  /// `storage` and `state_machine` must outlive it; the state machine is empty. Throws
  /// std::runtime_error where libraft refuses what is stored.
  RaftNode(Time now, const Voter& self, RaftStorage& storage,
           MaintenanceStateMachine& state_machine, const RaftTiming& timing, std::uint64_t seed);
  ~RaftNode();
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  /// Advances the clock and completes what the storage has made durable. To be called at
  /// next_tick(), or whenever the storage has become more durable.
  void tick(Time now);
  Time next_tick() const;
  /// A message of another voter. Malformed and unknown ones are ignored.
  void receive(Time now, std::string_view bytes);

  struct Outgoing {
    /// A voter's name.
    std::string to;
    std::string bytes;
  };
  /// Removes and returns the messages whose records are durable.
  std::vector<Outgoing> take_outgoing();

  bool is_leader() const;
  /// Name of the leader that this voter follows; empty: none is known.
  std::string leader() const;
  std::uint64_t term() const;
  /// Whether its storage has failed: it takes no part any more.
  bool halted() const;
  /// Whether another voter has seen more records of this storage than it has: it must not be used
  /// any more.
  bool rolled_back() const;
  std::vector<Voter> voters() const;

  /// Called with the result of the applied command, or with kNotLeader or kLost.
  using ProposalCallback = std::function<void(CommandResult result)>;
  /// Proposes a command. `done` may be called before propose() returns; when the node is destroyed
  /// first it is not called.
  void propose(const Command& command, ProposalCallback done = {});
  std::size_t pending_proposals() const;

  /// On the leader: begins the next change of the configuration that lets the voter `name`, which
  /// has lost its storage, take part again as its next generation. Several changes are needed, one
  /// at a time. Returns that generation, or 0 where another change is in progress or no voter has
  /// that name.
  std::uint32_t readmit(const std::string& name);
  /// The generation of `name` that does not vote yet; 0: none.
  std::uint32_t joining_generation(const std::string& name) const;
  /// Names whose readmission needs further changes.
  std::vector<std::string> pending_readmissions() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beechhill::maintenance
