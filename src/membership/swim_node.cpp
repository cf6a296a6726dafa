#include "membership/swim_node.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace beechhill::membership {
namespace {

// docs/design/membership.md gives measurements with the values of the constants below.

// Number of members asked for an indirect probe (k in the SWIM paper).
constexpr std::size_t kIndirectProbes = 3;
// Number of members that are notified immediately when this member leaves.
constexpr std::size_t kLeaveFanout = 4;
// Maximum number of suspects pinged in each probe interval, so that they learn of the suspicion and
// can refute it.
constexpr std::size_t kSuspectPings = 3;
// The direct ack of a probe must arrive within a third of a probe interval.
constexpr int kDirectProbeDivisor = 3;
// The first probe after a start or resume, and the nack of an indirect probe, are sent at most a
// quarter of a probe interval later.
constexpr int kQuarterIntervalDivisor = 4;
// Number of probe intervals between pings of an inactive member or a seed, which reconnect the two
// sides of a healed partition.
constexpr std::uint64_t kReconnectIntervals = 8;
// Number of probe intervals between requests for the complete table of members with a different
// digest.
constexpr std::uint64_t kSyncIntervals = 30;

bool is_active_member(const Member& member) {
  return is_active(member.update.state);
}

Message ping(std::uint64_t sequence_number) {
  return Message{MessageType::kPing, sequence_number, {}, 0, {}};
}

}  // namespace

SwimNode::SwimNode(Time now, SwimSettings settings, std::uint64_t seed, std::string name,
                   std::string address, std::uint64_t boot_id)
    : settings_(std::move(settings)),
      name_(std::move(name)),
      address_(std::move(address)),
      boot_id_(boot_id),
      random_(seed),
      next_probe_(now),
      next_tick_(now) {
  // Jitter spreads the probes of processes that start at the same time.
  if (settings_.probe_interval > Duration{0}) {
    const auto interval = static_cast<std::uint64_t>(settings_.probe_interval.count());
    const auto jitter = static_cast<std::int64_t>(random_() % interval);
    next_probe_ = now + Duration(jitter / kQuarterIntervalDivisor);
    next_tick_ = next_probe_;
  }
  has_contact_ =
      std::all_of(settings_.seed_addresses.begin(), settings_.seed_addresses.end(),
                  [this](const std::string& seed_address) { return seed_address == address_; });
}

MemberUpdate SwimNode::self() const {
  const MemberState state = left_ ? MemberState::kLeft : MemberState::kAlive;
  return {name_, address_, state, incarnation_, boot_id_, {}};
}

// ---- Updates

void SwimNode::apply_update(Time now, const MemberUpdate& update) {
  if (update.name == name_) {
    refute(update);
    return;
  }
  if (update.name.empty() || update.name.size() > kMaxNameBytes) {
    return;
  }
  const Member* known = table_.find(update.name);
  if (known == nullptr) {
    if (!table_.full()) {
      set_member(now, update);
    }
    return;
  }
  const bool replaces = supersedes(update, known->update);
  const bool confirms = update.state == MemberState::kSuspect &&
                        known->update.state == MemberState::kSuspect &&
                        update.incarnation == known->update.incarnation;
  if (replaces) {
    set_member(now, update);
  }
  if (confirms || (replaces && update.state == MemberState::kSuspect)) {
    suspect(now, update.name, update.suspected_by);
  }
}

// Refutes a claim by others about this member, or about an earlier process of the same name, by
// disseminating a higher incarnation.
void SwimNode::refute(const MemberUpdate& update) {
  const bool about_this_process = update.boot_id == boot_id_;
  // Counts a declared death even if this member has already refuted the preceding suspicion.
  if (about_this_process && update.state == MemberState::kDead &&
      update.incarnation >= uncounted_death_incarnation_) {
    ++times_declared_dead_;
    uncounted_death_incarnation_ = update.incarnation + 1;
  }
  if (update.incarnation < incarnation_) {
    return;
  }
  const bool needs_no_refutation =
      update.state == MemberState::kAlive || update.state == self().state;
  if (about_this_process && needs_no_refutation) {
    return;
  }
  if (about_this_process && update.state == MemberState::kSuspect) {
    local_health_.adjust(1);
  }
  incarnation_ = update.incarnation + 1;
  dissemination_.enqueue(self());
}

void SwimNode::set_member(Time now, const MemberUpdate& update) {
  table_.set(now, update);
  if (update.state != MemberState::kSuspect) {
    suspicions_.clear(update.name);
  }
  dissemination_.enqueue(update);
}

void SwimNode::suspect(Time now, const std::string& member, const std::string& accuser) {
  if (!suspicions_.add(now, member, accuser)) {
    return;
  }
  // Confirmations are disseminated too, because they shorten the timeout at other members.
  MemberUpdate confirmation = table_.update_of(member);
  confirmation.suspected_by = accuser;
  dissemination_.enqueue(confirmation);
}

SuspicionTimeoutInputs SwimNode::suspicion_timeout_inputs() const {
  return {settings_.probe_interval, table_.members().size(), table_.active_count()};
}

// Declares members dead whose suspicion was not refuted in time.
void SwimNode::expire_suspicions(Time now) {
  for (const std::string& member : suspicions_.expired(now, suspicion_timeout_inputs())) {
    MemberUpdate death = table_.update_of(member);
    death.state = MemberState::kDead;
    death.suspected_by.clear();
    set_member(now, death);
  }
}

// ---- Received messages

void SwimNode::receive(Time now, const std::string& from, const std::string& address,
                       const Message& message, std::vector<Outgoing>& out) {
  if (from == name_) {
    return;
  }
  const bool had_contact = has_contact_;
  for (const MemberUpdate& update : message.updates) {
    apply_update(now, update);
  }
  handle(now, from, address, message, out);
  if (sync_due(message, had_contact)) {
    send_sync_request(address, {}, from, out);
  }
  update_next_tick();
}

void SwimNode::handle(Time now, const std::string& from, const std::string& address,
                      const Message& message, std::vector<Outgoing>& out) {
  switch (message.type) {
    case MessageType::kPing:
      send(address, Message{MessageType::kAck, message.sequence_number, message.subject, 0, {}},
           from, out);
      break;
    case MessageType::kPingRequest:
      handle_ping_request(now, address, message, out);
      break;
    case MessageType::kAck:
      handle_ack(message, out);
      break;
    case MessageType::kNack:
      if (probe_ && message.sequence_number == probe_->sequence_number) {
        ++probe_->nacks;
      }
      break;
    case MessageType::kSyncRequest:
      send_sync_response(address, message.subject, out);
      break;
    case MessageType::kSyncResponse:
      if (!message.updates.empty()) {
        send_sync_request(address, message.updates.back().name, from, out);
      }
      break;
  }
}

void SwimNode::handle_ping_request(Time now, const std::string& address, const Message& message,
                                   std::vector<Outgoing>& out) {
  if (!table_.contains(message.subject) || relay_.full()) {
    return;
  }
  const std::uint64_t sequence_number = next_sequence_number_++;
  const Time nack_at = now + settings_.probe_interval / kQuarterIntervalDivisor;
  relay_.add(sequence_number,
             {address, message.subject, message.sequence_number, nack_at, /*nacked=*/false});
  send(table_.update_of(message.subject).address, ping(sequence_number), message.subject, out);
}

void SwimNode::handle_ack(const Message& message, std::vector<Outgoing>& out) {
  if (message.sequence_number >= contact_sequence_number_) {
    has_contact_ = true;
  }
  if (probe_ && message.sequence_number == probe_->sequence_number) {
    probe_->acked = true;
  }
  const std::optional<IndirectProbe> relayed = relay_.complete(message.sequence_number);
  if (relayed) {
    send(relayed->requester_address,
         Message{MessageType::kAck, relayed->requester_sequence_number, relayed->subject, 0, {}},
         {}, out);
  }
}

// Whether to request the sender's table. The digests must differ, and contact must be new or a
// periodic sync due. While many members start at the same time, none has a complete table yet, so
// syncs are also due 1, 2, 4, 8 and 16 intervals after the start.
bool SwimNode::sync_due(const Message& message, bool had_contact) const {
  if (message.type != MessageType::kAck || message.digest == digest()) {
    return false;
  }
  const bool startup_sync_due = intervals_ < kSyncIntervals && std::has_single_bit(intervals_);
  return !had_contact || startup_sync_due || intervals_ % kSyncIntervals == 0;
}

// ---- Sent messages

// Fills in the digest and the updates. If the destination is in the table but not alive, its state
// comes first, so that the destination can refute it. The state of the sender and the queued
// updates follow.
void SwimNode::piggyback(Message& message, const std::string& to) {
  message.digest = digest();
  const Member* destination = table_.find(to);
  if (destination != nullptr && destination->update.state != MemberState::kAlive) {
    message.updates.push_back(destination->update);
  }
  message.updates.push_back(self());
  std::vector<std::string> sent = dissemination_.piggyback(message, to, name_);
  sent.push_back(name_);
  dissemination_.count_transmissions(sent, max_transmissions(table_.members().size()));
}

void SwimNode::send(const std::string& address, Message message, const std::string& to,
                    std::vector<Outgoing>& out) {
  piggyback(message, to);
  out.push_back({address, std::move(message)});
}

void SwimNode::ping_member(const std::string& member, std::vector<Outgoing>& out) {
  send(table_.update_of(member).address, ping(next_sequence_number_++), member, out);
}

void SwimNode::send_sync_request(const std::string& address, const std::string& after,
                                 const std::string& to, std::vector<Outgoing>& out) {
  send(address, Message{MessageType::kSyncRequest, 0, after, 0, {}}, to, out);
}

void SwimNode::send_sync_response(const std::string& address, const std::string& after,
                                  std::vector<Outgoing>& out) {
  Message page{MessageType::kSyncResponse, 0, {}, digest(), table_.page_after(after)};
  out.push_back({address, std::move(page)});
}

// ---- Probes

void SwimNode::tick(Time now, std::vector<Outgoing>& out) {
  expire_suspicions(now);
  table_.forget_inactive(now, settings_.forget_after);
  send_nacks(now, out);
  if (probe_ && probe_->awaits_direct_ack() && now >= probe_->direct_deadline) {
    start_indirect_probes(*probe_, out);
  }
  if (now >= next_probe_) {
    finish_probe(now);
    ++intervals_;
    if (!left_) {
      notify_suspects(out);
      start_probe(now, out);
    }
    if (!left_ && (intervals_ % kReconnectIntervals == 1 || alive_members() == 0)) {
      probe_inactive_or_seed(out);
    }
    next_probe_ = now + scaled_probe_interval();
  }
  update_next_tick();
}

void SwimNode::update_next_tick() {
  next_tick_ = next_probe_;
  if (probe_ && probe_->awaits_direct_ack()) {
    next_tick_ = std::min(next_tick_, probe_->direct_deadline);
  }
  if (const std::optional<Time> next_nack = relay_.next_nack()) {
    next_tick_ = std::min(next_tick_, *next_nack);
  }
  if (const std::optional<Time> expiry = suspicions_.next_expiry(suspicion_timeout_inputs())) {
    next_tick_ = std::min(next_tick_, *expiry);
  }
}

void SwimNode::send_nacks(Time now, std::vector<Outgoing>& out) {
  for (const IndirectProbe& probe : relay_.take_nacks_due(now)) {
    send(probe.requester_address,
         Message{MessageType::kNack, probe.requester_sequence_number, probe.subject, 0, {}}, {},
         out);
  }
  relay_.expire(now, settings_.probe_interval);
}

// Lifeguard's buddy system: pinging a suspect directly makes sure that it learns of the suspicion
// quickly even on a lossy network.
void SwimNode::notify_suspects(std::vector<Outgoing>& out) {
  for (const std::string& member : suspicions_.suspected_by(name_, kSuspectPings)) {
    ping_member(member, out);
  }
}

void SwimNode::start_probe(Time now, std::vector<Outgoing>& out) {
  const std::optional<std::string> member = probe_round_.next(table_, random_);
  if (!member) {
    return;
  }
  Probe probe;
  probe.member = *member;
  probe.sequence_number = next_sequence_number_++;
  probe.direct_deadline = now + scaled_probe_interval() / kDirectProbeDivisor;
  probe_ = probe;
  send(table_.update_of(*member).address, ping(probe.sequence_number), *member, out);
}

void SwimNode::start_indirect_probes(Probe& probe, std::vector<Outgoing>& out) {
  probe.indirect_started = true;
  const std::string& subject = probe.member;
  const auto can_help = [&subject](const Member& member) {
    return member.update.name != subject && member.update.state == MemberState::kAlive;
  };
  for (const std::string& helper : sample(kIndirectProbes, can_help)) {
    ++probe.helpers;
    send(table_.update_of(helper).address,
         Message{MessageType::kPingRequest, probe.sequence_number, subject, 0, {}}, helper, out);
  }
}

void SwimNode::finish_probe(Time now) {
  if (!probe_) {
    return;
  }
  const Probe probe = std::move(*probe_);
  probe_.reset();
  if (probe.acked) {
    local_health_.adjust(-1);
    return;
  }
  // A helper that sends neither an ack nor a nack indicates that this process is the one that is
  // slow or disconnected.
  const unsigned missed_nacks = probe.helpers - std::min(probe.helpers, probe.nacks);
  local_health_.adjust(static_cast<int>(missed_nacks));
  const Member* member = table_.find(probe.member);
  if (member == nullptr || !is_active_member(*member)) {
    return;
  }
  if (member->update.state == MemberState::kAlive) {
    MemberUpdate suspicion = member->update;
    suspicion.state = MemberState::kSuspect;
    suspicion.suspected_by = name_;
    set_member(now, suspicion);
  }
  suspect(now, probe.member, name_);
}

// Pings a random inactive member. Also pings a random seed if there is no inactive member or no
// other member is alive. These pings reconnect the two sides of a healed partition.
void SwimNode::probe_inactive_or_seed(std::vector<Outgoing>& out) {
  const std::vector<std::string> inactive =
      sample(1, [](const Member& member) { return !is_active_member(member); });
  for (const std::string& member : inactive) {
    ping_member(member, out);
  }
  if (!inactive.empty() && alive_members() > 0) {
    return;
  }
  std::vector<std::string> seeds = settings_.seed_addresses;
  std::erase(seeds, address_);
  if (seeds.empty()) {
    return;
  }
  const std::string& seed_address = seeds[random_() % seeds.size()];
  send(seed_address, ping(next_sequence_number_++), {}, out);
}

void SwimNode::on_resume(Time now, std::vector<Outgoing>& out) {
  probe_.reset();
  relay_.clear();
  // Refutations may have been missed while the process was paused, so every suspect gets the
  // complete timeout to refute the suspicion again.
  suspicions_.restart_timeouts(now);
  contact_sequence_number_ = next_sequence_number_;
  has_contact_ = table_.members().empty();
  for (const std::string& member : sample(kIndirectProbes, is_active_member)) {
    ping_member(member, out);
  }
  next_probe_ = now + settings_.probe_interval / kQuarterIntervalDivisor;
  update_next_tick();
}

void SwimNode::leave(Time /*now*/, std::vector<Outgoing>& out) {
  left_ = true;
  for (const std::string& member : sample(kLeaveFanout, is_active_member)) {
    ping_member(member, out);
  }
}

std::vector<std::string> SwimNode::sample(std::size_t count,
                                          const std::function<bool(const Member&)>& predicate) {
  return table_.sample(count, predicate, random_);
}

}  // namespace beechhill::membership
