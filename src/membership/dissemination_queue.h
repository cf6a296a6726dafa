// Updates that wait to be disseminated: each is piggybacked on a bounded number of messages, the
// least often sent ones first (SWIM, section 4.1).
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/message.h"

namespace beechhill::membership {

/// At most one update for each member, the latest.
class DisseminationQueue {
 public:
  /// Queues `update` anew, in place of an earlier one about the same member.
  void enqueue(const MemberUpdate& update);

  /// Appends updates to `message` until the next one does not fit, leaving out those about the
  /// members `excluded_a` and `excluded_b`. Returns the names of the members they are about.
  std::vector<std::string> piggyback(Message& message, const std::string& excluded_a,
                                     const std::string& excluded_b) const;
  /// Counts one transmission of each named member's update, if it is queued; one that has been sent
  /// `max_transmissions` times is removed.
  void count_transmissions(const std::vector<std::string>& members, unsigned max_transmissions);

 private:
  struct QueuedUpdate {
    MemberUpdate update;
    unsigned transmissions = 0;
  };

  std::map<std::string, QueuedUpdate> updates_;
  /// Transmissions and name of each queued update, in the order of sending.
  std::set<std::pair<unsigned, std::string>> order_;
};

/// How often an update is sent by each member: lambda times the logarithm of the cluster's size.
/// `known_members`: the other members in the table.
unsigned max_transmissions(std::size_t known_members);

}  // namespace beechhill::membership
