// Cluster membership and failure detection: SWIM (Das, Gupta, Motivala 2002) with suspicion,
// incarnations, indirect probes and updates piggybacked on probes, and with Lifeguard's local
// health multiplier and dynamic suspicion timeout (Dadgar, Phillips, Currey 2018). Sans I/O: time
// and received messages come in, messages to be sent go out. docs/design/membership.md compares
// the alternatives.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "beechhill/balancer.h"
#include "membership/dissemination_queue.h"
#include "membership/indirect_probe_relay.h"
#include "membership/member_table.h"
#include "membership/message.h"
#include "membership/probe_schedule.h"
#include "membership/suspicion_tracker.h"

namespace beechhill::membership {

struct SwimSettings {
  /// Between two probes by one member, while it is healthy.
  Duration probe_interval{1'000'000};
  /// Members that are dead or left are removed from the table after this time.
  Duration forget_after{3'600'000'000};
  /// Addresses at which other members may be found.
  std::vector<std::string> seed_addresses;
};

/// One member's view of the cluster. Deterministic: equal inputs and seeds give equal outputs. Not
/// thread-safe. Times passed in never decrease. Every function that takes `out` appends to it the
/// messages to be sent; those may be lost, duplicated or reordered.
class SwimNode {
 public:
  /// `name` and `address`: this process, as the other members reach it. `boot_id`: drawn anew by
  /// each process. `seed`: of the random choices.
  SwimNode(Time now, SwimSettings settings, std::uint64_t seed, std::string name,
           std::string address, std::uint64_t boot_id);

  /// Handles a message. The caller has verified that the member `from` sent it; `address` is where
  /// it came from.
  void receive(Time now, const std::string& from, const std::string& address,
               const Message& message, std::vector<Outgoing>& out);
  /// Starts and ends probes and ends suspicions. To be called at next_tick() or later.
  void tick(Time now, std::vector<Outgoing>& out);
  /// When tick() is due. It may change with each call of another function.
  Time next_tick() const { return next_tick_; }
  /// The process did not run for a while: its table may be old, and others may have declared it
  /// dead. To be called before any message that arrived meanwhile.
  void on_resume(Time now, std::vector<Outgoing>& out);
  /// Announces that this member leaves. After it, the node only replies.
  void leave(Time now, std::vector<Outgoing>& out);

  /// Whether another member has answered since the start or the last on_resume(), so that this one
  /// would know if it had been declared dead. Always true where there are no other members.
  bool has_contact() const { return has_contact_; }
  /// Lifeguard's score of how impaired this process is; 0 is healthy.
  unsigned local_health_penalty() const { return local_health_.penalty(); }
  /// This member's own incarnation.
  std::uint32_t incarnation() const { return incarnation_; }
  /// How often this member learned that it had been declared dead. Each time, whatever it was
  /// granted before is void.
  std::uint64_t times_declared_dead() const { return times_declared_dead_; }

  /// The other members by name, those that are dead or left included.
  const std::map<std::string, Member>& members() const { return table_.members(); }
  /// The other members that are alive or suspect. O(n).
  std::size_t alive_members() const { return table_.active_count(); }
  /// Equal for two members whose tables agree, suspicions aside; each counts itself.
  std::uint64_t digest() const { return table_.digest() ^ digest_of(self()); }
  /// The changes since the last call.
  std::vector<MemberChange> take_changes() { return table_.take_changes(); }

 private:
  // Updates.
  MemberUpdate self() const;
  void apply_update(Time now, const MemberUpdate& update);
  void refute(const MemberUpdate& update);
  void set_member(Time now, const MemberUpdate& update);
  void suspect(Time now, const std::string& member, const std::string& accuser);
  void expire_suspicions(Time now);
  SuspicionTimeoutInputs suspicion_timeout_inputs() const;

  // Received messages.
  void handle(Time now, const std::string& from, const std::string& address, const Message& message,
              std::vector<Outgoing>& out);
  void handle_ping_request(Time now, const std::string& address, const Message& message,
                           std::vector<Outgoing>& out);
  void handle_ack(const Message& message, std::vector<Outgoing>& out);
  bool sync_due(const Message& message, bool had_contact) const;

  // Sent messages. `to` names the member at `address`; it is empty where that is not known.
  void piggyback(Message& message, const std::string& to);
  void send(const std::string& address, Message message, const std::string& to,
            std::vector<Outgoing>& out);
  void ping_member(const std::string& member, std::vector<Outgoing>& out);
  void send_sync_request(const std::string& address, const std::string& after,
                         const std::string& to, std::vector<Outgoing>& out);
  void send_sync_response(const std::string& address, const std::string& after,
                          std::vector<Outgoing>& out);

  // Probes.
  void start_probe(Time now, std::vector<Outgoing>& out);
  void start_indirect_probes(Probe& probe, std::vector<Outgoing>& out);
  void finish_probe(Time now);
  void notify_suspects(std::vector<Outgoing>& out);
  void probe_inactive_or_seed(std::vector<Outgoing>& out);
  void send_nacks(Time now, std::vector<Outgoing>& out);
  Duration scaled_probe_interval() const { return local_health_.scale(settings_.probe_interval); }
  std::vector<std::string> sample(std::size_t count,
                                  const std::function<bool(const Member&)>& predicate);
  void update_next_tick();

  const SwimSettings settings_;
  const std::string name_;
  const std::string address_;
  const std::uint64_t boot_id_;
  std::mt19937_64 random_;

  std::uint32_t incarnation_ = 0;
  bool left_ = false;
  bool has_contact_ = false;
  /// An ack of this ping or a later one establishes contact.
  std::uint64_t contact_sequence_number_ = 0;
  std::uint64_t times_declared_dead_ = 0;
  /// Deaths of this incarnation and later ones are not counted yet.
  std::uint32_t uncounted_death_incarnation_ = 0;

  MemberTable table_;
  SuspicionTracker suspicions_;
  DisseminationQueue dissemination_;

  LocalHealth local_health_;
  ProbeRound probe_round_;
  std::optional<Probe> probe_;
  IndirectProbeRelay relay_;
  std::uint64_t next_sequence_number_ = 1;
  /// Probe intervals since the start, at their scaled length.
  std::uint64_t intervals_ = 0;
  Time next_probe_;
  Time next_tick_;
};

}  // namespace beechhill::membership
