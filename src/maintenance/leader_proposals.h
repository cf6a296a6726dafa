// Proposes the commands that the leader issues itself, as opposed to operators' commands.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "maintenance/raft_node.h"

namespace beechhill::maintenance {

/// Tracks the keys of the proposals in flight. `raft` must outlive the object. Callbacks of pending
/// proposals refer to the object, so `raft` must not run them after the object's destruction.
class LeaderProposals {
 public:
  LeaderProposals(RaftNode& raft, std::function<Seconds()> unix_time)
      : raft_(raft), unix_time_(std::move(unix_time)) {}

  /// Clears the set of keys in flight. Must be called when this proxy becomes the leader.
  void reset() { in_flight_.clear(); }
  /// Sets the command's issue time to the current Unix time and proposes the command.
  void propose(Command command, RaftNode::ProposalCallback done = {});
  /// Like propose(), but does nothing while a command with the same key is in flight.
  void propose_once(const std::string& key, Command command);
  /// Like propose_once(), for a command about a proxy and, if given, a machine's workflow.
  void propose_once(CommandType type, const std::string& proxy, const std::string& machine = {},
                    FencingToken fencing_token = 0);
  bool in_flight(const std::string& key) const { return in_flight_.contains(key); }

 private:
  RaftNode& raft_;
  const std::function<Seconds()> unix_time_;
  std::set<std::string> in_flight_;
};

}  // namespace beechhill::maintenance
