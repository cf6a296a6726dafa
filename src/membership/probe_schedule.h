// Selects the member to probe next and scales the probe interval: SWIM's randomized round-robin
// order (section 4.3), and Lifeguard's local health multiplier, which slows the probes of a process
// that is itself impaired.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "beechhill/balancer.h"
#include "membership/member_table.h"

namespace beechhill::membership {

/// Maximum of LocalHealth::penalty(), at which the probe interval is nine times its base.
inline constexpr unsigned kMaxLocalHealthPenalty = 8;

/// Lifeguard's local health multiplier: a score of how impaired this process is, derived from
/// missed acks and nacks and from suspicions that this process had to refute.
class LocalHealth {
 public:
  /// Returns the score, from 0 for a healthy process to kMaxLocalHealthPenalty.
  unsigned penalty() const { return penalty_; }
  /// Adds `delta` to the penalty, clamped to its bounds.
  void adjust(int delta);
  /// Returns `interval` times the local health multiplier, 1 + penalty().
  Duration scale(Duration interval) const { return interval * (1 + penalty_); }

 private:
  unsigned penalty_ = 0;
};

/// The probe order: every active member once per round, in a new random order each round, so that
/// the time between two probes of a member is less than two rounds.
class ProbeRound {
 public:
  /// Returns the next member to probe, or nothing if no member is active.
  std::optional<std::string> next(const MemberTable& table, std::mt19937_64& random);

 private:
  /// The members not yet probed in this round; the next one is at the back.
  std::vector<std::string> pending_;
};

/// The state of one probe of a member.
struct Probe {
  std::string member;
  std::uint64_t sequence_number = 0;
  /// Indirect probes are started if no ack has arrived by this time.
  Time direct_deadline{0};
  bool acked = false;
  bool indirect_started = false;
  /// The number of members asked for an indirect probe, and the number of nacks received from them.
  unsigned helpers = 0;
  unsigned nacks = 0;

  /// Whether the probe is still waiting for the ack of its direct ping.
  bool awaits_direct_ack() const { return !acked && !indirect_started; }
};

}  // namespace beechhill::membership
