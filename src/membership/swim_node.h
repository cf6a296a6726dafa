// Cluster membership and failure detection: SWIM (Das, Gupta, Motivala 2002) with suspicion,
// incarnations, indirect probes and updates piggybacked on probes, extended by Lifeguard's local
// health multiplier and dynamic suspicion timeout (Dadgar, Phillips, Currey 2018). Performs no I/O:
// the caller passes in the time and received messages, and sends the returned messages.
// docs/design/membership.md compares the alternatives.
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
  /// Time between two probes by a member whose local health is unimpaired.
  Duration probe_interval{1'000'000};
  /// Members that have been dead or left for this long are removed from the table.
  Duration forget_after{3'600'000'000};
  /// Addresses at which this member tries to reach the cluster.
  std::vector<std::string> seed_addresses;
};

/// One member's view of the cluster. Deterministic: equal inputs and seeds give equal outputs. Not
/// thread-safe. The times passed in must not decrease. Functions with a parameter `out` append to
/// it the messages to be sent; messages may be lost, duplicated or reordered.
class SwimNode {
 public:
  /// `name` and `address` identify this process to the other members. `boot_id` must be drawn anew
  /// by each process. `seed` initializes the random choices.
  SwimNode(Time now, SwimSettings settings, std::uint64_t seed, std::string name,
           std::string address, std::uint64_t boot_id);

  /// Handles a message that the caller has verified to be sent by the member `from`. `address` is
  /// the source address of the message.
  void receive(Time now, const std::string& from, const std::string& address,
               const Message& message, std::vector<Outgoing>& out);
  /// Starts and finishes probes, and expires suspicions. Must be called at next_tick() or later.
  void tick(Time now, std::vector<Outgoing>& out);
  /// Time at which tick() is due. Any other non-const function may change it.
  Time next_tick() const { return next_tick_; }
  /// Handles a resume after the process was paused: its table may be outdated, and others may have
  /// declared it dead. Must be called before receive() for any message that arrived during the
  /// pause.
  void on_resume(Time now, std::vector<Outgoing>& out);
  /// Announces that this member leaves. Afterwards the node only replies to messages.
  void leave(Time now, std::vector<Outgoing>& out);

  /// Whether another member has sent an ack since the start or the last on_resume(), so that this
  /// member would have learned if it had been declared dead. Also true after a start without the
  /// seed addresses of other members, and after on_resume() with an empty member table.
  bool has_contact() const { return has_contact_; }
  /// Lifeguard's score of how impaired this process is; 0 means healthy.
  unsigned local_health_penalty() const { return local_health_.penalty(); }
  /// This member's own incarnation.
  std::uint32_t incarnation() const { return incarnation_; }
  /// How many times this member learned that it had been declared dead. Each time invalidates any
  /// lease or permission granted to it before.
  std::uint64_t times_declared_dead() const { return times_declared_dead_; }

  /// The other members keyed by name, including those that are dead or left.
  const std::map<std::string, Member>& members() const { return table_.members(); }
  /// The number of other members that are alive or suspect. O(n).
  std::size_t alive_members() const { return table_.active_count(); }
  /// A digest that includes this member. Members whose tables agree, ignoring suspicions, have
  /// equal digests.
  std::uint64_t digest() const { return table_.digest() ^ digest_of(self()); }
  /// Returns the changes since the last call.
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

  // Sent messages. `to` names the member at `address`; it is empty if the name is not known.
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
  /// An ack of a ping with this or a higher sequence number establishes contact.
  std::uint64_t contact_sequence_number_ = 0;
  std::uint64_t times_declared_dead_ = 0;
  /// Only deaths with this or a higher incarnation are counted, so that each is counted once.
  std::uint32_t uncounted_death_incarnation_ = 0;

  MemberTable table_;
  SuspicionTracker suspicions_;
  DisseminationQueue dissemination_;

  LocalHealth local_health_;
  ProbeRound probe_round_;
  std::optional<Probe> probe_;
  IndirectProbeRelay relay_;
  std::uint64_t next_sequence_number_ = 1;
  /// Number of probe intervals since the start, at their scaled length.
  std::uint64_t intervals_ = 0;
  Time next_probe_;
  Time next_tick_;
};

}  // namespace beechhill::membership
