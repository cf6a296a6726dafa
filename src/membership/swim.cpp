#include "membership/swim.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

#include "membership/bytes.h"

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
bool beats(const Rumour& a, const Rumour& b) {
  return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.state > b.state;
}

bool is_up(State s) {
  return s == State::kAlive || s == State::kSuspect;
}

// As written: three short texts, their lengths, and the numbers.
std::size_t size_of(const Rumour& r) {
  return r.name.size() + r.address.size() + r.by.size() + 19;
}

// Whether there is room for one more.
bool takes(const Message& m, const Rumour& r) {
  std::size_t bytes = size_of(r);
  for (const Rumour& there : m.rumours) {
    bytes += size_of(there);
  }
  return m.rumours.size() < kMostRumours && bytes <= kMostRumourBytes;
}

// What all have to agree on: a suspicion comes and goes.
std::uint64_t digest_of(const Rumour& r) {
  const State state = r.state == State::kSuspect ? State::kAlive : r.state;
  Writer w;
  w.text(r.name).number(state).number(r.incarnation).number(r.life);
  return XXH64(w.bytes().data(), w.bytes().size(), 0);
}

}  // namespace

const char* name(State state) {
  switch (state) {
    case State::kAlive:
      return "alive";
    case State::kSuspect:
      return "suspect";
    case State::kDead:
      return "dead";
    case State::kLeft:
      return "left";
  }
  return "unknown";
}

Swim::Swim(Time now, Settings settings, std::uint64_t seed, std::string name, std::string address,
           std::uint64_t life)
    : settings_(std::move(settings)),
      name_(std::move(name)),
      address_(std::move(address)),
      life_(life),
      random_(seed),
      digest_(digest_of(self())),
      probe_at_(now),
      due_(now) {
  // Processes often start together: each probes at a moment of its own.
  if (settings_.interval > Duration{0}) {
    probe_at_ = due_ = now + Duration(static_cast<std::int64_t>(below(
                                          static_cast<std::uint64_t>(settings_.interval.count()))) /
                                      4);
  }
  sure_ = std::all_of(settings_.seeds.begin(), settings_.seeds.end(),
                      [this](const std::string& s) { return s == address_; });
}

Rumour Swim::self() const {
  return {name_, address_, left_ ? State::kLeft : State::kAlive, incarnation_, life_, {}};
}

std::size_t Swim::alive() const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [](const auto& m) { return is_up(m.second.rumour.state); }));
}

// ---- What is heard

void Swim::receive(Time now, const std::string& from, const std::string& address, const Message& m,
                   std::vector<Outgoing>& out) {
  if (from == name_) {
    return;
  }
  const bool newcomer = !sure_;
  for (const Rumour& r : m.rumours) {
    hear(now, r);
  }
  const auto answer = [&](Kind kind) {
    send(address, Message{kind, m.number, m.about, 0, {}}, from, out);
  };
  switch (m.kind) {
    case Kind::kPing:
      answer(Kind::kAck);
      break;
    case Kind::kPingFor: {
      const auto about = members_.find(m.about);
      if (about == members_.end() || favours_.size() >= kMostFavours) {
        break;
      }
      const std::uint64_t number = next_number_++;
      favours_[number] = {address, m.about, m.number, now + settings_.interval / 4, false};
      send(about->second.rumour.address, Message{Kind::kPing, number, {}, 0, {}}, m.about, out);
      break;
    }
    case Kind::kAck: {
      if (m.number >= sure_from_) {
        sure_ = true;
      }
      if (probe_ && m.number == probe_->number) {
        probe_->answered = true;
      }
      const auto favour = favours_.find(m.number);
      if (favour == favours_.end()) {
        break;
      }
      send(favour->second.for_address,
           Message{Kind::kAck, favour->second.number, favour->second.about, 0, {}}, {}, out);
      favours_.erase(favour);
      break;
    }
    case Kind::kNack:
      if (probe_ && m.number == probe_->number) {
        ++probe_->nacks;
      }
      break;
    case Kind::kListAsk:
      answer_list(address, m.about, out);
      break;
    case Kind::kList:
      if (!m.rumours.empty()) {
        ask_list(address, m.rumours.back().name, from, out);
      }
      break;
  }
  // Whoever holds other news than this one is asked for them, now and then; a newcomer at once.
  // While many start together nobody knows all yet: a young one asks again, after 1, 2, 4, 8 and 16
  // periods.
  const bool young = periods_ < kSyncEvery && std::has_single_bit(periods_);
  if (m.kind == Kind::kAck && m.digest != digest_ &&
      (newcomer || young || periods_ % kSyncEvery == 0)) {
    ask_list(address, {}, from, out);
  }
  reckon();
}

void Swim::hear(Time now, const Rumour& r) {
  if (r.name == name_) {
    return hear_of_self(r);
  }
  if (r.name.empty() || r.name.size() > kLongestName) {
    return;
  }
  const auto it = members_.find(r.name);
  if (it == members_.end()) {
    if (members_.size() + 1 < kMostMembers) {
      set(now, r);
    }
    return;
  }
  const Rumour& held = it->second.rumour;
  if (beats(r, held)) {
    return r.state == State::kSuspect ? (set(now, r), suspect(now, r.name, r.by)) : set(now, r);
  }
  if (r.state == State::kSuspect && held.state == State::kSuspect &&
      r.incarnation == held.incarnation) {
    suspect(now, r.name, r.by);
  }
}

// What others say of this process is met by a higher incarnation. One of an earlier life, too.
void Swim::hear_of_self(const Rumour& r) {
  const bool mine = r.life == life_;
  // Told of a death late, after it has answered a suspicion, it learns of it all the same.
  if (mine && r.state == State::kDead && r.incarnation >= deaths_from_) {
    ++deaths_, deaths_from_ = r.incarnation + 1;
  }
  if (r.incarnation < incarnation_ || (mine && r.state == State::kAlive) ||
      (left_ && mine && r.state == State::kLeft)) {
    return;
  }
  if (mine && r.state == State::kSuspect) {
    shift(1);
  }
  digest_ ^= digest_of(self());
  incarnation_ = r.incarnation + 1;
  digest_ ^= digest_of(self());
  spread(self());
}

void Swim::set(Time now, const Rumour& r) {
  const auto [it, fresh] = members_.try_emplace(r.name);
  Member& m = it->second;
  const State from = fresh ? State::kDead : m.rumour.state;
  const bool restarted = !fresh && r.life != m.rumour.life;
  if (!fresh) {
    digest_ ^= digest_of(m.rumour);
  }
  if (fresh || from != r.state || restarted) {
    changes_.push_back({r.name, from, r.state, restarted, fresh});
    m.since = now;
  }
  m.rumour = r;
  digest_ ^= digest_of(r);
  if (r.state != State::kSuspect) {
    suspicions_.erase(r.name);
  }
  spread(r);
}

void Swim::suspect(Time now, const std::string& name, const std::string& by) {
  Suspicion& s = suspicions_.try_emplace(name, Suspicion{{}, now}).first->second;
  if (s.by.size() > kConfirmations || by.empty() || !s.by.insert(by).second) {
    return;
  }
  Rumour told = members_.at(name).rumour;
  told.by = by;
  spread(told);  // each new holder is news, too
}

// ---- What is told

void Swim::spread(const Rumour& r) {
  const auto it = news_.find(r.name);
  if (it != news_.end()) {
    news_order_.erase({it->second.sent, r.name});
  }
  news_[r.name] = {r, 0};
  news_order_.insert({0, r.name});
}

// News for that member, of itself first: it can answer only what it hears.
void Swim::carry(Message& message, const std::string& to) {
  message.digest = digest_;
  const auto member = members_.find(to);
  if (member != members_.end() && member->second.rumour.state != State::kAlive) {
    message.rumours.push_back(member->second.rumour);
  }
  message.rumours.push_back(self());
  const auto most = static_cast<unsigned>(
      kTellings * std::ceil(std::log2(static_cast<double>(members_.size()) + 2)));
  std::vector<std::string> taken;
  for (auto it = news_order_.begin(); it != news_order_.end(); ++it) {
    if (it->second == to || it->second == name_) {
      continue;
    }
    const Rumour& news = news_.at(it->second).rumour;
    if (!takes(message, news)) {
      break;
    }
    message.rumours.push_back(news);
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

void Swim::send(const std::string& address, Message message, const std::string& to,
                std::vector<Outgoing>& out) {
  carry(message, to);
  out.push_back({address, std::move(message)});
}

void Swim::ask_list(const std::string& address, const std::string& after, const std::string& to,
                    std::vector<Outgoing>& out) {
  send(address, Message{Kind::kListAsk, 0, after, 0, {}}, to, out);
}

// One page: bounded, and begun anew wherever the last one ended, so that nothing is kept for
// whoever asks.
void Swim::answer_list(const std::string& address, const std::string& after,
                       std::vector<Outgoing>& out) {
  Message page{Kind::kList, 0, {}, digest_, {}};
  for (auto it = members_.upper_bound(after);
       it != members_.end() && takes(page, it->second.rumour); ++it) {
    page.rumours.push_back(it->second.rumour);
  }
  out.push_back({address, std::move(page)});
}

// ---- Probes

void Swim::tick(Time now, std::vector<Outgoing>& out) {
  ripen(now);
  for (auto& [number, favour] : favours_) {
    if (!favour.nacked && now >= favour.nack_at) {
      favour.nacked = true;
      send(favour.for_address, Message{Kind::kNack, favour.number, favour.about, 0, {}}, {}, out);
    }
  }
  std::erase_if(favours_,
                [&](const auto& f) { return now >= f.second.nack_at + settings_.interval; });
  if (probe_ && !probe_->answered && !probe_->asked_others && now >= probe_->ask_others) {
    ask_others(out);
  }
  if (now >= probe_at_) {
    end_probe(now);
    ++periods_;
    if (!left_) {
      begin_probe(now, out);
    }
    if (!left_ && (periods_ % kLookEvery == 1 || alive() == 0)) {
      look_for_lost(out);
    }
    probe_at_ = now + period();
  }
  reckon();
}

void Swim::reckon() {
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

void Swim::begin_probe(Time now, std::vector<Outgoing>& out) {
  // Whom this one suspects it tells so itself: on a bad network that is what saves them.
  std::size_t told = 0;
  for (const auto& [name, s] : suspicions_) {
    if (s.by.contains(name_) && told++ < kHelpers) {
      send(members_.at(name).rumour.address, Message{Kind::kPing, next_number_++, {}, 0, {}}, name,
           out);
    }
  }
  // Round by round through all, each round in an order of its own: everybody is probed within two
  // rounds.
  while (!round_.empty() &&
         (!members_.contains(round_.back()) || !is_up(members_.at(round_.back()).rumour.state))) {
    round_.pop_back();
  }
  if (round_.empty()) {
    for (const auto& [name, m] : members_) {
      if (is_up(m.rumour.state)) {
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
  send(members_.at(p.name).rumour.address, Message{Kind::kPing, p.number, {}, 0, {}}, p.name, out);
}

void Swim::ask_others(std::vector<Outgoing>& out) {
  probe_->asked_others = true;
  const std::string about = probe_->name;
  for (const std::string& helper : some(kHelpers, [&](const Member& m) {
         return m.rumour.name != about && m.rumour.state == State::kAlive;
       })) {
    ++probe_->helpers;
    send(members_.at(helper).rumour.address, Message{Kind::kPingFor, probe_->number, about, 0, {}},
         helper, out);
  }
}

// Where helpers were asked and not one was heard, this process may be the one that is cut off or
// slow.
void Swim::end_probe(Time now) {
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
  if (it == members_.end() || !is_up(it->second.rumour.state)) {
    return;
  }
  Rumour r = it->second.rumour;
  r.by = name_;
  if (r.state == State::kAlive) {
    r.state = State::kSuspect, set(now, r);
  }
  suspect(now, p.name, name_);
}

void Swim::shift(int by) {
  slowness_ = static_cast<unsigned>(
      std::clamp(static_cast<int>(slowness_) + by, 0, static_cast<int>(kMostSlowness)));
}

Duration Swim::suspicion_lasts(std::size_t holders) const {
  const double least =
      kSuspectPeriods * std::max(1.0, std::log10(static_cast<double>(members_.size()) + 1));
  const std::size_t confirmed = holders > 0 ? holders - 1 : 0;
  // Few members can confirm little: with two there is nobody else to ask.
  const std::size_t wanted = std::min(kConfirmations, alive() > 2 ? alive() - 2 : 0);
  double times = 1;
  if (wanted > 0) {
    times = std::max(1.0, kUnconfirmed - (kUnconfirmed - 1) *
                                             std::log(static_cast<double>(confirmed) + 1) /
                                             std::log(static_cast<double>(wanted) + 1));
  }
  return Duration(
      static_cast<std::int64_t>(least * times * static_cast<double>(settings_.interval.count())));
}

// Suspicions that nobody met become deaths; what is long gone is forgotten.
void Swim::ripen(Time now) {
  std::vector<std::string> ripe;
  for (const auto& [name, s] : suspicions_) {
    if (now >= s.since + suspicion_lasts(s.by.size())) {
      ripe.push_back(name);
    }
  }
  for (const std::string& name : ripe) {
    Rumour r = members_.at(name).rumour;
    r.state = State::kDead;
    r.by.clear();
    set(now, r);
  }
  std::erase_if(members_, [&](const auto& m) {
    if (is_up(m.second.rumour.state) || now < m.second.since + settings_.forget_after) {
      return false;
    }
    digest_ ^= digest_of(m.second.rumour);
    return true;
  });
}

// A split that has healed is found by those who still try.
void Swim::look_for_lost(std::vector<Outgoing>& out) {
  const auto lost = some(1, [](const Member& m) { return !is_up(m.rumour.state); });
  for (const std::string& name : lost) {
    send(members_.at(name).rumour.address, Message{Kind::kPing, next_number_++, {}, 0, {}}, name,
         out);
  }
  if (!lost.empty() && alive() > 0) {
    return;
  }
  std::vector<std::string> seeds = settings_.seeds;
  std::erase(seeds, address_);
  if (!seeds.empty()) {
    send(seeds[below(seeds.size())], Message{Kind::kPing, next_number_++, {}, 0, {}}, {}, out);
  }
}

void Swim::woke(Time now, std::vector<Outgoing>& out) {
  probe_.reset();
  favours_.clear();
  // What it suspected it could not see answered.
  for (auto& [name, s] : suspicions_) {
    s.since = now;
  }
  sure_from_ = next_number_;
  sure_ = members_.empty();
  for (const std::string& name :
       some(kHelpers, [](const Member& m) { return is_up(m.rumour.state); })) {
    send(members_.at(name).rumour.address, Message{Kind::kPing, next_number_++, {}, 0, {}}, name,
         out);
  }
  probe_at_ = now + settings_.interval / 4;
  reckon();
}

void Swim::leave(Time now, std::vector<Outgoing>& out) {
  (void)now;
  digest_ ^= digest_of(self());
  left_ = true;
  digest_ ^= digest_of(self());
  for (const std::string& name :
       some(kHelpers + 1, [](const Member& m) { return is_up(m.rumour.state); })) {
    send(members_.at(name).rumour.address, Message{Kind::kPing, next_number_++, {}, 0, {}}, name,
         out);
  }
}

std::vector<std::string> Swim::some(std::size_t count,
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
