// Checks that this voter is still the leader: a majority of the voters must confirm its term in a
// round that began after the operation that depends on it was requested. This is the read index
// technique of raft, applied to leases.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "maintenance/raft_node.h"

namespace beechhill::maintenance {

/// Collects the confirmations of one round at a time. Performs no I/O and reads no clock.
class LeadershipCheckRounds {
 public:
  LeadershipCheckRounds(std::string self, Duration timeout)
      : self_(std::move(self)), timeout_(timeout) {}

  /// Number of the latest round, which may have ended.
  std::uint64_t round() const { return round_; }
  bool in_progress() const { return in_progress_; }
  bool timed_out(Time now) const { return in_progress_ && now >= deadline_; }

  /// Begins the next round. This voter itself counts as confirmed.
  void begin(Time now);
  /// Records a confirmation. Has no effect if `round` is not the round in progress.
  void confirm(const std::string& voter, std::uint64_t round);
  bool has_majority(const std::vector<Voter>& voters) const;
  void end() { in_progress_ = false; }

 private:
  const std::string self_;
  const Duration timeout_;
  std::uint64_t round_ = 0;
  bool in_progress_ = false;
  Time deadline_{0};
  std::set<std::string> confirmed_;
};

}  // namespace beechhill::maintenance
