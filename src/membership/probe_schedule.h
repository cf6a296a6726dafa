// Whom this process probes, when, and how patiently: the round-robin order of SWIM (section 4.3)
// and Lifeguard's local health multiplier, which slows the probes of a process that is itself
// impaired.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "beechhill/balancer.h"
#include "membership/member_table.h"

namespace beechhill::membership {

/// Bound of LocalHealth::penalty(): probes are at most nine times slower.
inline constexpr unsigned kMaxLocalHealthPenalty = 8;

/// Lifeguard's local health multiplier: a score of how impaired this process is, by the answers
/// that it missed and the suspicions that it had to refute.
class LocalHealth {
 public:
  /// 0 where the process is healthy, up to kMaxLocalHealthPenalty.
  unsigned penalty() const { return penalty_; }
  /// Raises or lowers the penalty within its bounds.
  void adjust(int delta);
  /// `interval` times the local health multiplier, 1 + penalty().
  Duration scale(Duration interval) const { return interval * (1 + penalty_); }

 private:
  unsigned penalty_ = 0;
};

/// The order of probes: all active members once in each round, in a new random order each time, so
/// that each is probed within two rounds.
class ProbeRound {
 public:
  /// The next member to probe; empty where none is active.
  std::optional<std::string> next(const MemberTable& table, std::mt19937_64& random);

 private:
  /// Still to be probed in this round; the next one stands last.
  std::vector<std::string> pending_;
};

/// The probe under way.
struct Probe {
  std::string member;
  std::uint64_t sequence_number = 0;
  /// Where no ack has come by then, indirect probes are started.
  Time direct_deadline{0};
  bool acked = false;
  bool indirect_started = false;
  /// Members that were asked for an indirect probe, and how many of those sent a nack.
  unsigned helpers = 0;
  unsigned nacks = 0;

  /// Whether it waits for its direct deadline.
  bool awaits_direct_ack() const { return !acked && !indirect_started; }
};

}  // namespace beechhill::membership
