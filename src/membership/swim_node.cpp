#include "membership/swim_node.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

#include "base/byte_codec.h"

namespace beechhill::membership {
namespace {

// Pure numbers, from the papers; the emulator's table in docs/design/membership.md was played with
// twice and half of each.
constexpr std::size_t kHelpers = 3;  // that are asked to ping whoever did not answer
constexpr unsigned kTellings = 3;    // of each piece of news, times the logarithm of the members
constexpr double kSuspectPeriods =
    4;  // that a suspicion lasts at the least, times the logarithm of the members
constexpr double kUnconfirmed = 6;         // times longer while nobody else holds it
constexpr std::size_t kConfirmations = 3;  // that make it as short as it gets
constexpr std::uint64_t kLookEvery =
    8;  // periods, for members that are dead or have left: a split may have healed
constexpr std::uint64_t kSyncEvery = 30;  // periods, for a whole list where digests differ
constexpr std::size_t kMostFavours = 64;  // that one does at a time; more are not answered

// Of two rumours of one incarnation the worse holds, but that one has left is its own word.
bool beats(const MemberUpdate& a, const MemberUpdate& b) {
  return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.state > b.state;
}

bool is_up(MemberState s) {
  return s == MemberState::kAlive || s == MemberState::kSuspect;
}

// As written: three short texts, their lengths, and the numbers.
std::size_t size_of(const MemberUpdate& r) {
  return r.name.size() + r.address.size() + r.suspected_by.size() + 19;
}

// Whether there is room for one more.
bool takes(const Message& m, const MemberUpdate& r) {
  std::size_t bytes = size_of(r);
  for (const MemberUpdate& there : m.updates) {
    bytes += size_of(there);
  }
  return m.updates.size() < kMaxUpdatesPerMessage && bytes <= kMaxUpdateBytes;
}

// What all have to agree on: a suspicion comes and goes.
std::uint64_t digest_of(const MemberUpdate& r) {
  const MemberState state = r.state == MemberState::kSuspect ? MemberState::kAlive : r.state;
  ByteWriter w;
  w.text(r.name).number(state).number(r.incarnation).number(r.boot_id);
  return XXH64(w.bytes().data(), w.bytes().size(), 0);
}

}  // namespace

const char* name(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

SwimNode::SwimNode(Time now, SwimSettings settings, std::uint64_t seed, std::string name,
                   std::string address, std::uint64_t life)
    : settings_(std::move(settings)),
      name_(std::move(name)),
      address_(std::move(address)),
      life_(life),
      random_(seed),
      digest_(digest_of(self())),
      probe_at_(now),
      due_(now) {
  // Processes often start together: each probes at a moment of its own.
  if (settings_.probe_interval > Duration{0}) {
    probe_at_ = due_ =
        now + Duration(static_cast<std::int64_t>(
                           below(static_cast<std::uint64_t>(settings_.probe_interval.count()))) /
                       4);
  }
  sure_ = std::all_of(settings_.seed_addresses.begin(), settings_.seed_addresses.end(),
                      [this](const std::string& s) { return s == address_; });
}

MemberUpdate SwimNode::self() const {
  return {name_,        address_, left_ ? MemberState::kLeft : MemberState::kAlive,
          incarnation_, life_,    {}};
}

std::size_t SwimNode::alive_members() const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [](const auto& m) { return is_up(m.second.update.state); }));
}

// ---- What is heard

void SwimNode::receive(Time now, const std::string& from, const std::string& address,
                       const Message& m, std::vector<Outgoing>& out) {
  if (from == name_) {
    return;
  }
  const bool newcomer = !sure_;
  for (const MemberUpdate& r : m.updates) {
    hear(now, r);
  }
  const auto answer = [&](MessageType kind) {
    send(address, Message{kind, m.sequence_number, m.subject, 0, {}}, from, out);
  };
  switch (m.type) {
    case MessageType::kPing:
      answer(MessageType::kAck);
      break;
    case MessageType::kPingRequest: {
      const auto about = members_.find(m.subject);
      if (about == members_.end() || favours_.size() >= kMostFavours) {
        break;
      }
      const std::uint64_t number = next_number_++;
      favours_[number] = {address, m.subject, m.sequence_number, now + settings_.probe_interval / 4,
                          false};
      send(about->second.update.address, Message{MessageType::kPing, number, {}, 0, {}}, m.subject,
           out);
      break;
    }
    case MessageType::kAck: {
      if (m.sequence_number >= sure_from_) {
        sure_ = true;
      }
      if (probe_ && m.sequence_number == probe_->number) {
        probe_->answered = true;
      }
      const auto favour = favours_.find(m.sequence_number);
      if (favour == favours_.end()) {
        break;
      }
      send(favour->second.for_address,
           Message{MessageType::kAck, favour->second.number, favour->second.about, 0, {}}, {}, out);
      favours_.erase(favour);
      break;
    }
    case MessageType::kNack:
      if (probe_ && m.sequence_number == probe_->number) {
        ++probe_->nacks;
      }
      break;
    case MessageType::kSyncRequest:
      answer_list(address, m.subject, out);
      break;
    case MessageType::kSyncResponse:
      if (!m.updates.empty()) {
        ask_list(address, m.updates.back().name, from, out);
      }
      break;
  }
  // Whoever holds other news than this one is asked for them, now and then; a newcomer at once.
  // While many start together nobody knows all yet: a young one asks again, after 1, 2, 4, 8 and 16
  // periods.
  const bool young = periods_ < kSyncEvery && std::has_single_bit(periods_);
  if (m.type == MessageType::kAck && m.digest != digest_ &&
      (newcomer || young || periods_ % kSyncEvery == 0)) {
    ask_list(address, {}, from, out);
  }
  reckon();
}

void SwimNode::hear(Time now, const MemberUpdate& r) {
  if (r.name == name_) {
    return hear_of_self(r);
  }
  if (r.name.empty() || r.name.size() > kMaxNameBytes) {
    return;
  }
  const auto it = members_.find(r.name);
  if (it == members_.end()) {
    if (members_.size() + 1 < kMaxMembers) {
      set(now, r);
    }
    return;
  }
  const MemberUpdate& held = it->second.update;
  if (beats(r, held)) {
    return r.state == MemberState::kSuspect ? (set(now, r), suspect(now, r.name, r.suspected_by))
                                            : set(now, r);
  }
  if (r.state == MemberState::kSuspect && held.state == MemberState::kSuspect &&
      r.incarnation == held.incarnation) {
    suspect(now, r.name, r.suspected_by);
  }
}

// What others say of this process is met by a higher incarnation. One of an earlier life, too.
void SwimNode::hear_of_self(const MemberUpdate& r) {
  const bool mine = r.boot_id == life_;
  // Told of a death late, after it has answered a suspicion, it learns of it all the same.
  if (mine && r.state == MemberState::kDead && r.incarnation >= deaths_from_) {
    ++deaths_, deaths_from_ = r.incarnation + 1;
  }
  if (r.incarnation < incarnation_ || (mine && r.state == MemberState::kAlive) ||
      (left_ && mine && r.state == MemberState::kLeft)) {
    return;
  }
  if (mine && r.state == MemberState::kSuspect) {
    shift(1);
  }
  digest_ ^= digest_of(self());
  incarnation_ = r.incarnation + 1;
  digest_ ^= digest_of(self());
  spread(self());
}

void SwimNode::set(Time now, const MemberUpdate& r) {
  const auto [it, fresh] = members_.try_emplace(r.name);
  Member& m = it->second;
  const MemberState from = fresh ? MemberState::kDead : m.update.state;
  const bool restarted = !fresh && r.boot_id != m.update.boot_id;
  if (!fresh) {
    digest_ ^= digest_of(m.update);
  }
  if (fresh || from != r.state || restarted) {
    changes_.push_back({r.name, from, r.state, restarted, fresh});
    m.state_since = now;
  }
  m.update = r;
  digest_ ^= digest_of(r);
  if (r.state != MemberState::kSuspect) {
    suspicions_.erase(r.name);
  }
  spread(r);
}

void SwimNode::suspect(Time now, const std::string& name, const std::string& by) {
  Suspicion& s = suspicions_.try_emplace(name, Suspicion{{}, now}).first->second;
  if (s.by.size() > kConfirmations || by.empty() || !s.by.insert(by).second) {
    return;
  }
  MemberUpdate told = members_.at(name).update;
  told.suspected_by = by;
  spread(told);  // each new holder is news, too
}

// ---- What is told

void SwimNode::spread(const MemberUpdate& r) {
  const auto it = news_.find(r.name);
  if (it != news_.end()) {
    news_order_.erase({it->second.sent, r.name});
  }
  news_[r.name] = {r, 0};
  news_order_.insert({0, r.name});
}

// News for that member, of itself first: it can answer only what it hears.
void SwimNode::carry(Message& message, const std::string& to) {
  message.digest = digest_;
  const auto member = members_.find(to);
  if (member != members_.end() && member->second.update.state != MemberState::kAlive) {
    message.updates.push_back(member->second.update);
  }
  message.updates.push_back(self());
  const auto most = static_cast<unsigned>(
      kTellings * std::ceil(std::log2(static_cast<double>(members_.size()) + 2)));
  std::vector<std::string> taken;
  for (auto it = news_order_.begin(); it != news_order_.end(); ++it) {
    if (it->second == to || it->second == name_) {
      continue;
    }
    const MemberUpdate& news = news_.at(it->second).rumour;
    if (!takes(message, news)) {
      break;
    }
    message.updates.push_back(news);
    taken.push_back(it->second);
  }
  taken.push_back(name_);  // told with every message, so no news for long
  for (const std::string& name : taken) {
    const auto it = news_.find(name);
    if (it == news_.end()) {
      continue;
    }
    news_order_.erase({it->second.sent, name});
    if (++it->second.sent >= most) {
      news_.erase(it);
    } else {
      news_order_.insert({it->second.sent, name});
    }
  }
}

void SwimNode::send(const std::string& address, Message message, const std::string& to,
                    std::vector<Outgoing>& out) {
  carry(message, to);
  out.push_back({address, std::move(message)});
}

void SwimNode::ask_list(const std::string& address, const std::string& after, const std::string& to,
                        std::vector<Outgoing>& out) {
  send(address, Message{MessageType::kSyncRequest, 0, after, 0, {}}, to, out);
}

// One page: bounded, and begun anew wherever the last one ended, so that nothing is kept for
// whoever asks.
void SwimNode::answer_list(const std::string& address, const std::string& after,
                           std::vector<Outgoing>& out) {
  Message page{MessageType::kSyncResponse, 0, {}, digest_, {}};
  for (auto it = members_.upper_bound(after);
       it != members_.end() && takes(page, it->second.update); ++it) {
    page.updates.push_back(it->second.update);
  }
  out.push_back({address, std::move(page)});
}

// ---- Probes

void SwimNode::tick(Time now, std::vector<Outgoing>& out) {
  ripen(now);
  for (auto& [number, favour] : favours_) {
    if (!favour.nacked && now >= favour.nack_at) {
      favour.nacked = true;
      send(favour.for_address, Message{MessageType::kNack, favour.number, favour.about, 0, {}}, {},
           out);
    }
  }
  std::erase_if(favours_,
                [&](const auto& f) { return now >= f.second.nack_at + settings_.probe_interval; });
  if (probe_ && !probe_->answered && !probe_->asked_others && now >= probe_->ask_others) {
    ask_others(out);
  }
  if (now >= probe_at_) {
    end_probe(now);
    ++periods_;
    if (!left_) {
      begin_probe(now, out);
    }
    if (!left_ && (periods_ % kLookEvery == 1 || alive_members() == 0)) {
      look_for_lost(out);
    }
    probe_at_ = now + period();
  }
  reckon();
}

void SwimNode::reckon() {
  due_ = probe_at_;
  if (probe_ && !probe_->answered && !probe_->asked_others) {
    due_ = std::min(due_, probe_->ask_others);
  }
  for (const auto& [number, favour] : favours_) {
    if (!favour.nacked) {
      due_ = std::min(due_, favour.nack_at);
    }
  }
  for (const auto& [name, s] : suspicions_) {
    due_ = std::min(due_, s.since + suspicion_lasts(s.by.size()));
  }
}

void SwimNode::begin_probe(Time now, std::vector<Outgoing>& out) {
  // Whom this one suspects it tells so itself: on a bad network that is what saves them.
  std::size_t told = 0;
  for (const auto& [name, s] : suspicions_) {
    if (s.by.contains(name_) && told++ < kHelpers) {
      send(members_.at(name).update.address, Message{MessageType::kPing, next_number_++, {}, 0, {}},
           name, out);
    }
  }
  // Round by round through all, each round in an order of its own: everybody is probed within two
  // rounds.
  while (!round_.empty() &&
         (!members_.contains(round_.back()) || !is_up(members_.at(round_.back()).update.state))) {
    round_.pop_back();
  }
  if (round_.empty()) {
    for (const auto& [name, m] : members_) {
      if (is_up(m.update.state)) {
        round_.push_back(name);
      }
    }
    for (std::size_t i = round_.size(); i > 1; --i) {
      std::swap(round_[i - 1], round_[below(i)]);
    }
  }
  if (round_.empty()) {
    return;
  }
  Probe p;
  p.name = round_.back();
  round_.pop_back();
  p.number = next_number_++;
  p.ask_others = now + period() / 3;
  p.over = now + period();
  probe_ = p;
  send(members_.at(p.name).update.address, Message{MessageType::kPing, p.number, {}, 0, {}}, p.name,
       out);
}

void SwimNode::ask_others(std::vector<Outgoing>& out) {
  probe_->asked_others = true;
  const std::string about = probe_->name;
  for (const std::string& helper : some(kHelpers, [&](const Member& m) {
         return m.update.name != about && m.update.state == MemberState::kAlive;
       })) {
    ++probe_->helpers;
    send(members_.at(helper).update.address,
         Message{MessageType::kPingRequest, probe_->number, about, 0, {}}, helper, out);
  }
}

// Where helpers were asked and not one was heard, this process may be the one that is cut off or
// slow.
void SwimNode::end_probe(Time now) {
  if (!probe_) {
    return;
  }
  const Probe p = *std::exchange(probe_, std::nullopt);
  if (p.answered) {
    return shift(-1);
  }
  if (p.helpers > 0) {
    shift(static_cast<int>(p.helpers - std::min(p.helpers, p.nacks)));
  }
  const auto it = members_.find(p.name);
  if (it == members_.end() || !is_up(it->second.update.state)) {
    return;
  }
  MemberUpdate r = it->second.update;
  r.suspected_by = name_;
  if (r.state == MemberState::kAlive) {
    r.state = MemberState::kSuspect, set(now, r);
  }
  suspect(now, p.name, name_);
}

void SwimNode::shift(int by) {
  slowness_ = static_cast<unsigned>(
      std::clamp(static_cast<int>(slowness_) + by, 0, static_cast<int>(kMaxLocalHealthPenalty)));
}

Duration SwimNode::suspicion_lasts(std::size_t holders) const {
  const double least =
      kSuspectPeriods * std::max(1.0, std::log10(static_cast<double>(members_.size()) + 1));
  const std::size_t confirmed = holders > 0 ? holders - 1 : 0;
  // Few members can confirm little: with two there is nobody else to ask.
  const std::size_t wanted =
      std::min(kConfirmations, alive_members() > 2 ? alive_members() - 2 : 0);
  double times = 1;
  if (wanted > 0) {
    times = std::max(1.0, kUnconfirmed - (kUnconfirmed - 1) *
                                             std::log(static_cast<double>(confirmed) + 1) /
                                             std::log(static_cast<double>(wanted) + 1));
  }
  return Duration(static_cast<std::int64_t>(least * times *
                                            static_cast<double>(settings_.probe_interval.count())));
}

// Suspicions that nobody met become deaths; what is long gone is forgotten.
void SwimNode::ripen(Time now) {
  std::vector<std::string> ripe;
  for (const auto& [name, s] : suspicions_) {
    if (now >= s.since + suspicion_lasts(s.by.size())) {
      ripe.push_back(name);
    }
  }
  for (const std::string& name : ripe) {
    MemberUpdate r = members_.at(name).update;
    r.state = MemberState::kDead;
    r.suspected_by.clear();
    set(now, r);
  }
  std::erase_if(members_, [&](const auto& m) {
    if (is_up(m.second.update.state) || now < m.second.state_since + settings_.forget_after) {
      return false;
    }
    digest_ ^= digest_of(m.second.update);
    return true;
  });
}

// A split that has healed is found by those who still try.
void SwimNode::look_for_lost(std::vector<Outgoing>& out) {
  const auto lost = some(1, [](const Member& m) { return !is_up(m.update.state); });
  for (const std::string& name : lost) {
    send(members_.at(name).update.address, Message{MessageType::kPing, next_number_++, {}, 0, {}},
         name, out);
  }
  if (!lost.empty() && alive_members() > 0) {
    return;
  }
  std::vector<std::string> seeds = settings_.seed_addresses;
  std::erase(seeds, address_);
  if (!seeds.empty()) {
    send(seeds[below(seeds.size())], Message{MessageType::kPing, next_number_++, {}, 0, {}}, {},
         out);
  }
}

void SwimNode::on_resume(Time now, std::vector<Outgoing>& out) {
  probe_.reset();
  favours_.clear();
  // What it suspected it could not see answered.
  for (auto& [name, s] : suspicions_) {
    s.since = now;
  }
  sure_from_ = next_number_;
  sure_ = members_.empty();
  for (const std::string& name :
       some(kHelpers, [](const Member& m) { return is_up(m.update.state); })) {
    send(members_.at(name).update.address, Message{MessageType::kPing, next_number_++, {}, 0, {}},
         name, out);
  }
  probe_at_ = now + settings_.probe_interval / 4;
  reckon();
}

void SwimNode::leave(Time now, std::vector<Outgoing>& out) {
  (void)now;
  digest_ ^= digest_of(self());
  left_ = true;
  digest_ ^= digest_of(self());
  for (const std::string& name :
       some(kHelpers + 1, [](const Member& m) { return is_up(m.update.state); })) {
    send(members_.at(name).update.address, Message{MessageType::kPing, next_number_++, {}, 0, {}},
         name, out);
  }
}

std::vector<std::string> SwimNode::some(std::size_t count,
                                        const std::function<bool(const Member&)>& which) {
  std::vector<std::string> all;
  for (const auto& [name, m] : members_) {
    if (which(m)) {
      all.push_back(name);
    }
  }
  std::vector<std::string> chosen;
  while (chosen.size() < count && !all.empty()) {
    const std::size_t i = below(all.size());
    chosen.push_back(std::exchange(all[i], all.back()));
    all.pop_back();
  }
  return chosen;
}

}  // namespace beechhill::membership
