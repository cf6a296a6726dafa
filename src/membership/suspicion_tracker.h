// Tracks suspicions and their timeouts, using Lifeguard's dynamic suspicion timeout (Dadgar,
// Phillips, Currey 2018, section IV-B).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::membership {

/// The inputs of suspicion_timeout() that all suspicions share.
struct SuspicionTimeoutInputs {
  Duration probe_interval{0};
  /// The number of other members in the table, in any state.
  std::size_t known_members = 0;
  /// The number of other members that are alive or suspect.
  std::size_t active_members = 0;
};

/// Returns how long a suspicion lasts before the suspected member is declared dead. `accusers` is
/// the number of members that raised or confirmed the suspicion. The timeout grows with the
/// logarithm of the cluster size and shrinks with the logarithm of the number of confirmations.
Duration suspicion_timeout(const SuspicionTimeoutInputs& inputs, std::size_t accusers);

/// The current suspicions of this process, each with the members that raised or confirmed it.
class SuspicionTracker {
 public:
  /// Records that `accuser` suspects `member`, and starts the timeout if `member` was not suspected
  /// yet. Returns whether `accuser` was added to the member's accusers and the accusation should be
  /// disseminated. This is not the case if `accuser` is empty or already recorded, or if four
  /// accusers are recorded, after which further ones do not shorten the timeout.
  bool add(Time now, const std::string& member, const std::string& accuser);
  /// Removes the suspicion of `member`, after it was refuted or the member was declared dead.
  void clear(const std::string& member) { suspicions_.erase(member); }
  /// Restarts the timeouts of all suspicions.
  void restart_timeouts(Time now);

  /// Returns the members whose timeout has expired.
  std::vector<std::string> expired(Time now, const SuspicionTimeoutInputs& inputs) const;
  /// Returns when the first timeout expires, or nothing if there are no suspicions.
  std::optional<Time> next_expiry(const SuspicionTimeoutInputs& inputs) const;
  /// Returns up to `max_count` members that `accuser` suspects, in order of name.
  std::vector<std::string> suspected_by(const std::string& accuser, std::size_t max_count) const;

 private:
  struct Suspicion {
    std::set<std::string> accusers;
    Time since{0};
  };

  std::map<std::string, Suspicion> suspicions_;
};

}  // namespace beechhill::membership
