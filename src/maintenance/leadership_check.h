// Whether this voter still leads: a majority of the voters must confirm its term in a round that
// began after what depends on it was asked for. As raft's read index does for reads.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "maintenance/raft_node.h"

namespace beechhill::maintenance {

/// One round at a time. Free of I/O and clocks.
class LeadershipCheckRounds {
 public:
  LeadershipCheckRounds(std::string self, Duration timeout)
      : self_(std::move(self)), timeout_(timeout) {}

  /// Of the latest round, which may be over.
  std::uint64_t round() const { return round_; }
  bool in_progress() const { return in_progress_; }
  bool timed_out(Time now) const { return in_progress_ && now >= deadline_; }

  /// Begins the next round, with this voter's own confirmation.
  void begin(Time now);
  /// Ignored where `round` is not the one in progress.
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
