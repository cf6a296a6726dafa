// A queue of membership updates to disseminate. Each update is piggybacked on a bounded number of
// messages, and the updates sent least often go first (SWIM, section 4.1).
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/message.h"

namespace beechhill::membership {

/// Queues the latest update about each member until it has been sent often enough.
class DisseminationQueue {
 public:
  /// Queues `update` with no transmissions counted, replacing an earlier update about the same
  /// member.
  void enqueue(const MemberUpdate& update);

  /// Appends updates to `message` until the next one does not fit. Skips updates about the members
  /// `excluded_a` and `excluded_b`. Returns the names of the members whose updates were appended.
  std::vector<std::string> piggyback(Message& message, const std::string& excluded_a,
                                     const std::string& excluded_b) const;
  /// Counts one transmission of the queued update of each member in `members`, and removes updates
  /// that have been sent `max_transmissions` times.
  void count_transmissions(const std::vector<std::string>& members, unsigned max_transmissions);

 private:
  struct QueuedUpdate {
    MemberUpdate update;
    unsigned transmissions = 0;
  };

  std::map<std::string, QueuedUpdate> updates_;
  /// The transmission count and member name of each queued update, in sending order.
  std::set<std::pair<unsigned, std::string>> order_;
};

/// Returns how many times each member sends an update: 3 times the binary logarithm of the cluster
/// size, rounded up. `known_members` is the number of other members in the table.
unsigned max_transmissions(std::size_t known_members);

}  // namespace beechhill::membership
