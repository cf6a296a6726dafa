// Suspicions and their timeouts: Lifeguard's dynamic suspicion timeout (Dadgar, Phillips, Currey
// 2018, section IV-B).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::membership {

/// What a suspicion's timeout depends on.
struct SuspicionTimeoutInputs {
  Duration probe_interval{0};
  /// The other members in the table, whatever their state.
  std::size_t known_members = 0;
  /// Those of them that are alive or suspect.
  std::size_t active_members = 0;
};

/// How long a suspicion raised by `accusers` members lasts before it becomes a death. It grows with
/// the logarithm of the cluster's size, and shrinks logarithmically as others confirm it.
Duration suspicion_timeout(const SuspicionTimeoutInputs& inputs, std::size_t accusers);

/// The suspicions that this process holds, each with the members that raised or confirmed it.
class SuspicionTracker {
 public:
  /// Records that `accuser` suspects `member`, and starts the timeout where nobody did. Returns
  /// whether this is a confirmation to be passed on: a new accuser, and not more of them than
  /// shorten the timeout.
  bool add(Time now, const std::string& member, const std::string& accuser);
  /// The suspicion of `member` is refuted or has become a death.
  void clear(const std::string& member) { suspicions_.erase(member); }
  /// All timeouts start anew, as after a pause of this process.
  void restart_timeouts(Time now);

  /// The members whose timeout is over.
  std::vector<std::string> expired(Time now, const SuspicionTimeoutInputs& inputs) const;
  /// When the first timeout ends; empty where there is no suspicion.
  std::optional<Time> next_expiry(const SuspicionTimeoutInputs& inputs) const;
  /// The first members, by name and at most `max_count`, of which `accuser` is an accuser.
  std::vector<std::string> suspected_by(const std::string& accuser, std::size_t max_count) const;

 private:
  struct Suspicion {
    std::set<std::string> accusers;
    Time since{0};
  };

  std::map<std::string, Suspicion> suspicions_;
};

}  // namespace beechhill::membership
