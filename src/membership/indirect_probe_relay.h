// The indirect probes that this process carries out for others: it pings a member on behalf of a
// requester, and passes the ack on or sends a nack where none came in time.
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
  /// Of the requester's probe.
  std::uint64_t requester_sequence_number = 0;
  /// When the requester is sent a nack, if no ack has come.
  Time nack_at{0};
  bool nacked = false;
};

/// The indirect probes under way, by the sequence number of the ping that was sent for them.
class IndirectProbeRelay {
 public:
  /// Whether no further request may be accepted.
  bool full() const;
  void add(std::uint64_t sequence_number, IndirectProbe probe);
  /// An ack has come: removes and returns the probe that it belongs to, if any.
  std::optional<IndirectProbe> complete(std::uint64_t sequence_number);
  /// The probes for which a nack is due; each is returned once.
  std::vector<IndirectProbe> take_nacks_due(Time now);
  /// Removes the probes whose nack was due at least `age` ago. Until then a late ack is passed on.
  void expire(Time now, Duration age);
  /// When the next nack is due.
  std::optional<Time> next_nack() const;
  void clear() { probes_.clear(); }

 private:
  std::map<std::uint64_t, IndirectProbe> probes_;
};

}  // namespace beechhill::membership
