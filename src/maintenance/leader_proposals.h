// The leader's own proposals, each of which is in flight at most once.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "maintenance/raft_node.h"

namespace beechhill::maintenance {

/// What is referred to must outlive it; callbacks of proposals in flight refer to it.
class LeaderProposals {
 public:
  LeaderProposals(RaftNode& raft, std::function<Seconds()> unix_time)
      : raft_(raft), unix_time_(std::move(unix_time)) {}

  /// Forgets what is in flight: this proxy has become the leader.
  void reset() { in_flight_.clear(); }
  /// Proposes the command at the present Unix time.
  void propose(Command command, RaftNode::ProposalCallback done = {});
  /// As propose(), unless a command with that key is in flight.
  void propose_once(const std::string& key, Command command);
  /// propose_once() of a command about a proxy, and a machine's workflow where one is given.
  void propose_once(CommandType type, const std::string& proxy, const std::string& machine = {},
                    FencingToken fencing_token = 0);
  bool in_flight(const std::string& key) const { return in_flight_.contains(key); }

 private:
  RaftNode& raft_;
  const std::function<Seconds()> unix_time_;
  std::set<std::string> in_flight_;
};

}  // namespace beechhill::maintenance
