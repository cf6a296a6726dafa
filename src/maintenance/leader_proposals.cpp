#include "maintenance/leader_proposals.h"

#include <utility>

namespace beechhill::maintenance {

void LeaderProposals::propose(Command command, RaftNode::ProposalCallback done) {
  command.issued_at = unix_time_();
  raft_.propose(command, std::move(done));
}

void LeaderProposals::propose_once(const std::string& key, Command command) {
  if (!in_flight_.insert(key).second) {
    return;
  }
  propose(std::move(command), [this, key](CommandResult) { in_flight_.erase(key); });
}

void LeaderProposals::propose_once(CommandType type, const std::string& proxy,
                                   const std::string& machine, FencingToken fencing_token) {
  const std::string key = std::to_string(static_cast<int>(type)) + "/" + proxy + "/" + machine +
                          "/" + std::to_string(fencing_token);
  Command command;
  command.type = type;
  command.proxy = proxy;
  command.machine = machine;
  command.fencing_token = fencing_token;
  propose_once(key, std::move(command));
}

}  // namespace beechhill::maintenance
