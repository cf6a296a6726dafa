// The indirect probes that this process performs for other members: it pings a member on behalf of
// a requester, then forwards the ack, or sends a nack if no ack arrives in time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::membership {

/// A ping that was sent on behalf of another member.
struct IndirectProbe {
  std::string requester_address;
  /// The member that is pinged.
  std::string subject;
  /// Sequence number of the requester's probe.
  std::uint64_t requester_sequence_number = 0;
  /// Time at which the requester is sent a nack if no ack has arrived.
  Time nack_at{0};
  bool nacked = false;
};

/// The indirect probes in progress, keyed by the sequence number of the ping sent for each.
class IndirectProbeRelay {
 public:
  /// Whether the maximum number of concurrent indirect probes is reached. If it is, add() must not
  /// be called.
  bool full() const;
  void add(std::uint64_t sequence_number, IndirectProbe probe);
  /// Removes and returns the probe that the ack of ping `sequence_number` belongs to, if any.
  std::optional<IndirectProbe> complete(std::uint64_t sequence_number);
  /// Returns the probes for which a nack is due; each probe is returned once.
  std::vector<IndirectProbe> take_nacks_due(Time now);
  /// Removes the probes whose nack was due at least `age` ago. Acks that arrive
  /// before the removal are still forwarded.
  void expire(Time now, Duration age);
  /// Returns when the next nack is due, or nothing if none is pending.
  std::optional<Time> next_nack() const;
  void clear() { probes_.clear(); }

 private:
  std::map<std::uint64_t, IndirectProbe> probes_;
};

}  // namespace beechhill::membership
