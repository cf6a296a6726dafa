#include "maintenance/maintenance_coordinator.h"

#include <algorithm>
#include <cmath>

#include "base/byte_codec.h"
#include "maintenance/status_json.h"

namespace beechhill::maintenance {

using base::ByteReader;
using base::ByteWriter;

namespace {

enum class Word : std::uint8_t {
  kAsk = 1,
  kLease,
  kElsewhere,
  kVouch,
  kVouched,
  kOrder,
  kOrdered,
  kQuestion,
  kTold,
  kReadmitted
};

constexpr std::size_t kMostAnswers = 64 * 1024;  // bytes of one
constexpr std::size_t kMostAsked = 32;           // of other proxies' or staff's questions at a time
constexpr std::size_t kMostFacts = 400;          // machines in one command
constexpr std::size_t kMostRights = 1'000;
constexpr std::size_t kMostZones = 64;
constexpr Duration kAnswerWithin{2'000'000};
constexpr Duration kFactsEvery{1'000'000};
// What counts as an incident. Pure parts; half and twice of each paused the same drawn days in the
// emulator.
constexpr double kSilentProxies = 0.25;  // of the roster
constexpr double kDownMachines = 0.1;    // of the list, beyond those that are out for work
constexpr double kGoodputFall = 0.1;     // of what is asked, below the usual
constexpr double kUsualSpan = 60;        // seconds
constexpr std::uint64_t kTellingRequests = 50;
constexpr double kUseStep = 0.05;  // smaller changes of use are not settled anew

ByteWriter word(Word w) {
  ByteWriter out;
  out.number(w);
  return out;
}

void put_rights(ByteWriter& w,
                const std::map<std::string, MaintenanceStateMachine::DispatchPermission>& rights) {
  w.number(static_cast<std::uint16_t>(rights.size()));
  for (const auto& [id, r] : rights) {
    w.text(id).number(r.dispatch_forbidden).number(r.lease_required).number(r.fencing_token);
  }
}

std::map<std::string, MaintenanceStateMachine::DispatchPermission> read_rights(ByteReader& r) {
  std::map<std::string, MaintenanceStateMachine::DispatchPermission> rights;
  for (auto n = r.number<std::uint16_t>(); n > 0 && r.ok(); --n) {
    MaintenanceStateMachine::DispatchPermission& right = rights[r.text(kMaxTextBytes)];
    right.dispatch_forbidden = r.number<bool>(), right.lease_required = r.number<bool>(),
    right.fencing_token = r.number<FencingToken>();
  }
  return rights;
}

}  // namespace

MaintenanceCoordinator::MaintenanceCoordinator(Time now, CoordinatorSettings settings,
                                               RaftStorage* storage, std::uint32_t generation,
                                               std::uint64_t life, std::uint64_t seed,
                                               std::function<Seconds()> unix)
    : settings_(std::move(settings)),
      life_(life),
      unix_(std::move(unix)),
      now_(now),
      started_(now),
      due_(now),
      ask_at_(now) {
  if (storage) {
    agreement_ = std::make_unique<RaftNode>(now, Voter{settings_.self, generation}, *storage,
                                            ledger_, settings_.raft_timing, seed);
  }
  next_voter_ = static_cast<std::size_t>(seed);  // not all ask the same one first
}

void MaintenanceCoordinator::on_resume(Time now) {
  now_ = now;
  round_open_ = false;
  ask_at_ = now;
  due_ = now;
}

std::vector<MaintenanceCoordinator::Outgoing> MaintenanceCoordinator::take_outgoing() {
  if (agreement_) {
    for (RaftNode::Outgoing& o : agreement_->take_outgoing()) {
      out_.push_back({o.to, Channel::kRaft, std::move(o.bytes)});
    }
  }
  return std::exchange(out_, {});
}

// ---- Rights

Time MaintenanceCoordinator::serving_permitted_until() const {
  if (!leased_once_) {
    return settings_.serve_without_lease && now_ >= started_ + settings_.initial_lease_timeout
               ? Time::max()
               : Time::min();
  }
  return settings_.isolation_timeout > Duration{0} ? lease_until_ + settings_.isolation_timeout
                                                   : Time::max();
}

Time MaintenanceCoordinator::dispatch_permitted_until(const std::string& machine) const {
  const auto it = rights_.find(machine);
  if (it == rights_.end()) {
    return serving_permitted_until();
  }
  return it->second.dispatch_forbidden ? Time::min()
                                       : std::min(lease_until_, serving_permitted_until());
}

// ---- A proxy's lease

void MaintenanceCoordinator::ask_lease(Time now) {
  // While machines are on their way out each asking is what the others wait for.
  ask_at_ = now + (rights_.empty() ? beat() : beat() / 4);
  std::erase_if(asks_, [&](const auto& a) { return now > a.second + settings_.lease_duration; });
  if (leader_.empty() || asks_.size() > 2) {  // no answer from that one: the next
    leader_ = settings_.voters[next_voter_++ % settings_.voters.size()];
    if (agreement_ && !agreement_->leader().empty()) {
      leader_ = agreement_->leader();
    }
  }
  const std::uint64_t number = next_number_++;
  asks_[number] = now;
  ByteWriter w = word(Word::kAsk);
  w.number(number)
      .number(life_)
      .number(held_)
      .text(settings_.zone)
      .number(view_.has_discovery_update)
      .number(view_.is_idle)
      .number(view_.is_shutting_down);
  const bool lost = !agreement_ && std::find(settings_.voters.begin(), settings_.voters.end(),
                                             settings_.self) != settings_.voters.end();
  w.number(lost || halted())
      .number(view_.served_requests)
      .number(view_.unserved_requests)
      .number(static_cast<std::uint8_t>(std::min(kMostZones, view_.zone_utilization.size())));
  std::size_t zones = 0;
  for (const auto& [zone, use] : view_.zone_utilization) {
    if (zones++ < kMostZones) {
      w.text(zone).number(static_cast<std::int64_t>(use * 1e6));
    }
  }
  std::vector<std::pair<std::string, FencingToken>> empty;
  for (const auto& [id, right] : rights_) {
    if (right.dispatch_forbidden && !view_.busy_machines.contains(id)) {
      empty.emplace_back(id, right.fencing_token);
    }
  }
  if (self_out_ && view_.is_idle) {
    empty.emplace_back(settings_.self, *self_out_);
  }
  w.number(static_cast<std::uint16_t>(empty.size()));
  for (const auto& [id, fence] : empty) {
    w.text(id).number(fence);
  }
  if (leader_ == settings_.self) {
    hear_ask(now, settings_.self, std::string_view(w.bytes()).substr(1));
  } else {
    say(leader_, w.bytes());
  }
}

void MaintenanceCoordinator::hear_lease(std::string_view bytes) {
  ByteReader r(bytes);
  const auto number = r.number<std::uint64_t>();
  const auto held = r.number<LogIndex>();
  auto rights = read_rights(r);
  const auto proxies = read_rights(r);
  const auto sent = asks_.find(number);
  if (!r.done() || sent == asks_.end() || held < held_) {
    return;  // not asked for, or overtaken
  }
  lease_until_ = std::max(
      lease_until_,
      sent->second + settings_.lease_duration);  // from the asking: on its way it grew no longer
  asks_.erase(asks_.begin(), std::next(sent));
  leased_once_ = true;
  held_ = held;
  rights_ = std::move(rights);
  const auto own = proxies.find(settings_.self);
  self_out_ = own != proxies.end() && own->second.dispatch_forbidden
                  ? std::optional(own->second.fencing_token)
                  : std::nullopt;
}

// ---- What comes

void MaintenanceCoordinator::receive(Time now, const std::string& from, Channel line,
                                     std::string_view bytes) {
  now_ = now;
  if (line == Channel::kRaft) {
    if (agreement_) {
      agreement_->receive(now, bytes);
    }
    due_ = now;
    return;
  }
  ByteReader r(bytes);
  const auto w = r.number<Word>();
  const std::string_view rest = r.rest();
  ByteReader in(rest);
  switch (w) {
    case Word::kAsk:
      hear_ask(now, from, rest);
      break;
    case Word::kLease:
      hear_lease(rest);
      break;
    case Word::kElsewhere: {
      const auto number = in.number<std::uint64_t>();
      const std::string leader = in.text(kMaxTextBytes);
      if (!in.done() || !asks_.contains(number)) {
        break;
      }
      asks_.erase(number);
      const bool other = leader != leader_;
      leader_ = leader;  // empty: the next voter, at the next turn
      if (!leader.empty() && other) {
        ask_at_ = now;
      }
      break;
    }
    case Word::kVouch: {
      const auto term = in.number<std::uint64_t>(), round = in.number<std::uint64_t>();
      if (!in.done() || !agreement_ || agreement_->halted() || agreement_->term() != term) {
        break;
      }
      say(from, word(Word::kVouched).number(term).number(round).bytes());
      break;
    }
    case Word::kVouched: {
      const auto term = in.number<std::uint64_t>(), round = in.number<std::uint64_t>();
      if (in.done() && is_leader() && round_open_ && term == agreement_->term() &&
          round == round_) {
        vouched_.insert(from);
      }
      break;
    }
    case Word::kOrder: {
      const auto number = in.number<std::uint64_t>();
      const auto command = decode(in.rest());
      if (!command || command->type > CommandType::kForgetProxy || asked_.size() >= kMostAsked) {
        break;
      }
      const auto answer = [this, from, number](bool done, const std::string& text) {
        say(from, word(Word::kOrdered).number(number).number(done).text(text).bytes());
      };
      is_leader() && in_charge_ ? submit_command(now, *command, answer)
                                : answer(false, "no_leader");
      break;
    }
    case Word::kQuestion: {
      const auto number = in.number<std::uint64_t>();
      const std::string request = in.text(kMaxTextBytes);
      if (!in.done()) {
        break;
      }
      const auto answer = [this, from, number](bool done, const std::string& text) {
        say(from, word(Word::kTold)
                      .number(number)
                      .number(done)
                      .raw(text.substr(0, kMostAnswers))
                      .bytes());
      };
      is_leader() && in_charge_ ? query(now, request, answer) : answer(false, "no_leader");
      break;
    }
    case Word::kOrdered:
    case Word::kTold: {
      const auto number = in.number<std::uint64_t>();
      const bool done = in.number<bool>();
      const std::string text =
          w == Word::kOrdered ? in.text(kMaxTextBytes) : std::string(in.rest());
      const auto it = asked_.find(number);
      if (!in.ok() || it == asked_.end()) {
        break;
      }
      const ResponseCallback answer = std::move(it->second.answer);
      asked_.erase(it);
      answer(done, text);
      break;
    }
    case Word::kReadmitted: {
      const auto generation = in.number<std::uint32_t>();
      if (in.done() && (!agreement_ || halted())) {
        readmitted_ = generation;
      }
      break;
    }
  }
  due_ = std::min(due_, now);
}

// ---- Staff

void MaintenanceCoordinator::submit_command(Time now, Command command, ResponseCallback answer) {
  if (is_leader()) {
    if (!in_charge_) {
      return answer(false, "no_leader");
    }
    command.issued_at = unix_();
    if (command.request) {
      command.request->requested_at = command.issued_at;
    }
    return agreement_->propose(command, [answer](const char* reason) {
      const bool again = reason && std::string_view(reason) ==
                                       "nothing_to_change";  // the same once more is the same
      answer(!reason || again, reason ? reason : "");
    });
  }
  if (leader_.empty() || leader_ == settings_.self || asked_.size() >= kMostAsked) {
    return answer(false, "no_leader");
  }
  const std::uint64_t number = next_number_++;
  asked_[number] = {std::move(answer), now + kAnswerWithin};
  say(leader_, word(Word::kOrder).number(number).raw(encode(command)).bytes());
}

void MaintenanceCoordinator::query(Time now, const std::string& request, ResponseCallback answer) {
  if (is_leader() && in_charge_) {
    return answer(true, status_json(ledger_, shown(), request, trouble_));
  }
  if (leader_.empty() || leader_ == settings_.self || asked_.size() >= kMostAsked) {
    return answer(false, "no_leader");
  }
  const std::uint64_t number = next_number_++;
  asked_[number] = {std::move(answer), now + kAnswerWithin};
  say(leader_, word(Word::kQuestion).number(number).text(request).bytes());
}

// ---- The one that leads

std::map<std::string, LogIndex> MaintenanceCoordinator::shown() const {
  std::map<std::string, LogIndex> all;
  for (const auto& [proxy, s] : seen_) {
    all[proxy] = s.shown;
  }
  return all;
}

// Of leases that another leader gave nothing is known but that they are no longer than all. One
// that was heard just now is about to have one: it is not silent.
Time MaintenanceCoordinator::lease_ends(const std::string& proxy) const {
  const auto it = seen_.find(proxy);
  const Time others = leads_since_ + longest_lease();
  return it == seen_.end()
             ? others
             : std::max({others, it->second.lease_ends, it->second.heard + longest_lease()});
}

// It stopped sending there when its lease ended, and what it had begun has ended since.
bool MaintenanceCoordinator::confirmed_by_lapse(Time now, const std::string& proxy) const {
  return now >= lease_ends(proxy) + settings_.drain_grace + settings_.max_request_duration;
}

void MaintenanceCoordinator::hear_ask(Time now, const std::string& from, std::string_view bytes) {
  ByteReader r(bytes);
  const auto number = r.number<std::uint64_t>(), life = r.number<std::uint64_t>();
  const auto held = r.number<LogIndex>();
  const std::string zone = r.text(kMaxTextBytes);
  const bool warm = r.number<bool>(), idle = r.number<bool>(), ending = r.number<bool>(),
             lost = r.number<bool>();
  const auto served = r.number<std::uint64_t>(), unserved = r.number<std::uint64_t>();
  std::map<std::string, double> use;
  for (auto n = r.number<std::uint8_t>(); n > 0 && r.ok(); --n) {
    const std::string of = r.text(kMaxTextBytes);
    use[of] = static_cast<double>(r.number<std::int64_t>()) / 1e6;
  }
  std::vector<std::pair<std::string, FencingToken>> empty;
  for (auto n = r.number<std::uint16_t>(); n > 0 && r.ok(); --n) {
    const std::string id = r.text(kMaxTextBytes);
    empty.emplace_back(id, r.number<FencingToken>());
  }
  if (!r.done() || empty.size() > kMostRights) {
    return;
  }
  if (!is_leader() || !in_charge_) {
    const std::string leader = agreement_ && !is_leader() ? agreement_->leader() : std::string();
    if (from != settings_.self) {
      return say(from, word(Word::kElsewhere).number(number).text(leader).bytes());
    }
    asks_.erase(number);
    leader_ = leader;
    return;
  }
  if (lost) {
    // Told at each asking: the word may be lost on its way, and the change waits for it.
    if (agreement_->joining_generation(from) == 0) {
      agreement_->readmit(from);
    }
    if (const std::uint32_t generation = agreement_->joining_generation(from)) {
      say(from, word(Word::kReadmitted).number(generation).bytes());
    }
  }
  if (!seen_.contains(from) && seen_.size() >= kMaxProxies) {
    return;
  }
  Seen& s = seen_[from];
  if (s.life != life) {
    const Time ends = s.lease_ends;  // an earlier life's lease may still be in force
    s = Seen{};
    s.life = life, s.lease_ends = ends;
  }
  s.shown = held;
  s.heard = now, s.zone = zone, s.warm = warm, s.idle = idle, s.ending = ending,
  s.use = std::move(use);
  if (served >= s.served && unserved >= s.unserved) {
    s.served = served, s.unserved = unserved;
  }
  for (const auto& [id, fence] : empty) {
    const auto c = ledger_.workflows().find(id);
    if (c == ledger_.workflows().end() || c->second.fencing_token != fence ||
        c->second.state != WorkflowState::kDraining) {
      continue;
    }
    if (!c->second.confirmed_proxies.contains(from)) {
      propose(CommandType::kConfirmDrained, from, id, fence);
    }
  }
  if (!ledger_.proxies().contains(from) && !ending) {
    return propose(CommandType::kAddProxy, from);  // its next asking is answered
  }
  waiting_.push_back({from, number, round_ + 1});
  if (waiting_.size() > 2 * kMaxProxies) {
    waiting_.erase(waiting_.begin());
  }
  vouch(now);
}

// Whether another leads by now the other voters know: each answer rests on a round of them that
// began after it was asked for.
void MaintenanceCoordinator::vouch(Time now) {
  if (round_open_ || waiting_.empty()) {
    return;
  }
  ++round_;
  round_open_ = true;
  round_until_ = now + 3 * settings_.raft_timing.heartbeat_interval;
  vouched_ = {settings_.self};
  for (const Voter& v : agreement_->voters()) {
    if (v.name != settings_.self) {
      say(v.name, word(Word::kVouch).number(agreement_->term()).number(round_).bytes());
    }
  }
}

void MaintenanceCoordinator::grant_leases(Time now) {
  if (!round_open_) {
    return vouch(now);
  }
  const std::vector<Voter> voters = agreement_->voters();
  const auto here = static_cast<std::size_t>(std::count_if(
      voters.begin(), voters.end(), [this](const Voter& v) { return vouched_.contains(v.name); }));
  if (2 * here <= voters.size()) {
    if (now >= round_until_) {
      round_open_ = false, vouch(now);
    }
    return;
  }
  round_open_ = false;
  const auto rights = ledger_.dispatch_permissions(Role::kBackend),
             proxies = ledger_.dispatch_permissions(Role::kProxy);
  std::vector<Waiting> later;
  for (const Waiting& w : std::exchange(waiting_, {})) {
    if (w.round > round_) {
      later.push_back(w);
      continue;
    }
    Seen& s = seen_[w.proxy];
    s.lease_ends = std::max(s.lease_ends, now + longest_lease());
    ByteWriter out = word(Word::kLease);
    out.number(w.number).number(ledger_.applied_index());
    put_rights(out, rights);
    put_rights(out, proxies);
    if (w.proxy == settings_.self) {
      hear_lease(std::string_view(out.bytes()).substr(1));
    } else {
      say(w.proxy, out.bytes());
    }
  }
  waiting_ = std::move(later);
  vouch(now);
}

void MaintenanceCoordinator::propose(CommandType what, const std::string& proxy,
                                     const std::string& machine, FencingToken fence) {
  const std::string key = std::to_string(static_cast<int>(what)) + "/" + proxy + "/" + machine +
                          "/" + std::to_string(fence);
  if (!proposing_.insert(key).second) {
    return;
  }
  Command c;
  c.type = what, c.issued_at = unix_(), c.proxy = proxy, c.machine = machine,
  c.fencing_token = fence;
  agreement_->propose(c, [this, key](const char*) { proposing_.erase(key); });
}

std::string MaintenanceCoordinator::trouble(Time now) {
  std::size_t silent = 0;
  for (const std::string& proxy : ledger_.proxies()) {
    silent += now > lease_ends(proxy);
  }
  if (static_cast<double>(silent) >
      kSilentProxies * static_cast<double>(ledger_.proxies().size())) {
    return "silent_proxies: " + std::to_string(silent) + " of " +
           std::to_string(ledger_.proxies().size());
  }
  std::map<std::string, std::pair<double, double>> by_zone;  // down, all
  double down = 0, all = 0;
  for (const Machine& m : view_.machines) {
    const bool away = !m.up && !ledger_.workflows().contains(m.id);
    auto& zone = by_zone[m.zone];
    down += away, zone.first += away, all += 1, zone.second += 1;
  }
  for (const auto& [zone, counts] : by_zone) {
    if (counts.first > counts.second / 2) {
      return "zone_lost: " + zone;
    }
  }
  if (down > kDownMachines * all) {
    return "machines_down: " + std::to_string(static_cast<int>(down)) + " of " +
           std::to_string(static_cast<int>(all));
  }
  std::uint64_t served = 0, unserved = 0;
  for (auto& [proxy, s] : seen_) {
    served += s.served - std::min(s.served, std::exchange(s.served_before, s.served));
    unserved += s.unserved - std::min(s.unserved, std::exchange(s.unserved_before, s.unserved));
  }
  if (served + unserved < kTellingRequests) {
    return {};
  }
  const double part = static_cast<double>(served) / static_cast<double>(served + unserved);
  if (part < usual_ - kGoodputFall) {
    return "goodput: " + std::to_string(static_cast<int>(100 * part)) + " of 100 served";
  }
  const double dt = std::chrono::duration<double>(now - std::exchange(judged_at_, now)).count();
  usual_ += (part - usual_) * std::min(1.0, dt / kUsualSpan);
  return {};
}

// What the log does not say yet of list and load goes into it; without anything new the time does,
// where it matters.
void MaintenanceCoordinator::settle_facts(Time now) {
  if (now < facts_at_ || proposing_.contains("facts") || !view_.has_discovery_update) {
    return;
  }
  facts_at_ = now + kFactsEvery;
  trouble_ = trouble(now);
  Command c;
  c.type = CommandType::kUpdateObservations, c.issued_at = unix_(),
  c.incident = trouble_.substr(0, kMaxTextBytes);
  std::map<std::string, Machine> all;
  for (const Machine& m : view_.machines) {
    all[m.id] = m;
  }
  for (const auto& [proxy, s] : seen_) {
    if (ledger_.proxies().contains(proxy)) {
      all[proxy] = {proxy,
                    s.zone,
                    {},
                    {},
                    Role::kProxy,
                    1,
                    now <= s.lease_ends && !s.ending,
                    s.warm,
                    static_cast<std::int64_t>(s.life >> 1)};
    }
  }
  for (const auto& [id, m] : all) {
    const auto held = ledger_.machines().find(id);
    if (c.machines.size() < kMostFacts &&
        (held == ledger_.machines().end() || !(held->second == m))) {
      c.machines.push_back(m);
    }
  }
  for (const auto& [id, m] : ledger_.machines()) {
    if (c.removed_machines.size() < kMostFacts && !all.contains(id)) {
      c.removed_machines.insert(id);
    }
  }
  std::map<std::string, std::pair<double, int>> sums;
  for (const auto& [proxy, s] : seen_) {
    for (const auto& [zone, use] : s.use) {
      sums[zone].first += use, sums[zone].second += 1;
    }
  }
  bool moved = sums.size() != ledger_.zone_utilization().size();
  for (const auto& [zone, sum] : sums) {
    c.zone_utilization[zone] = sum.first / sum.second;
    const auto held = ledger_.zone_utilization().find(zone);
    moved = moved || held == ledger_.zone_utilization().end() ||
            std::abs(held->second - c.zone_utilization[zone]) > kUseStep;
  }
  if (!moved) {
    c.zone_utilization = ledger_.zone_utilization();
  }
  const bool news = moved || !c.machines.empty() || !c.removed_machines.empty() ||
                    !c.incident.empty() || c.incident != ledger_.incident();
  const bool open = !ledger_.workflows().empty() ||
                    std::any_of(ledger_.requests().begin(), ledger_.requests().end(),
                                [](const auto& q) { return q.second.open(); });
  if (!news && !open) {
    return;
  }
  if (!news) {
    c = Command{}, c.type = CommandType::kAdvanceTime, c.issued_at = unix_();
  }
  proposing_.insert("facts");
  agreement_->propose(c, [this](const char*) { proposing_.erase("facts"); });
}

void MaintenanceCoordinator::conduct(Time now) {
  for (const auto& [machine, c] : ledger_.workflows()) {
    if (c.state != WorkflowState::kDraining) {
      continue;
    }
    for (const std::string& proxy : ledger_.proxies()) {
      if (!c.confirmed_proxies.contains(proxy) && confirmed_by_lapse(now, proxy)) {
        propose(CommandType::kConfirmDrained, proxy, machine, c.fencing_token);
      }
    }
  }
  for (const std::string& proxy : ledger_.proxies()) {
    const auto it = seen_.find(proxy);
    const bool left = it != seen_.end() && it->second.ending && it->second.idle;
    const Duration isolated = settings_.isolation_timeout + settings_.isolation_timeout / 50 +
                              settings_.max_request_duration;
    if (left ||
        (settings_.isolation_timeout > Duration{0} && now >= lease_ends(proxy) + isolated)) {
      propose(CommandType::kRemoveProxy, proxy);
    }
  }
  for (const std::string& name : agreement_->pending_readmissions()) {
    agreement_->readmit(name);
  }
  settle_facts(now);
  if (agreement_->pending_proposals() > 0) {
    return;
  }
  for (Command& c : ledger_.next_commands(shown())) {
    c.issued_at = unix_();
    agreement_->propose(c);
  }
}

void MaintenanceCoordinator::tick(Time now) {
  now_ = now;
  if (agreement_) {
    agreement_->tick(now);
  }
  if (is_leader() && !led_) {
    led_ = true, in_charge_ = false;
    leads_since_ = now;
    seen_.clear(), waiting_.clear(), proposing_.clear();
    round_open_ = false;
    usual_ = 1, judged_at_ = now, facts_at_ = now + beat();
    Command c;
    c.type = CommandType::kSetDisruptionBudget, c.issued_at = unix_(),
    c.disruption_budget = settings_.disruption_budget;
    const std::uint64_t term = agreement_->term();
    agreement_->propose(c, [this, term](const char* reason) {
      const bool lost = reason && (std::string_view(reason) == "lost" ||
                                   std::string_view(reason) == "not_leader");
      if (!lost && is_leader() && agreement_->term() == term) {
        in_charge_ = true;
      }
    });
  }
  if (!is_leader()) {
    led_ = in_charge_ = false;
  }
  if (in_charge_) {
    grant_leases(now);
    conduct(now);
  }
  if (now >= ask_at_) {
    ask_lease(now);
  }
  std::vector<ResponseCallback> late;
  for (auto it = asked_.begin(); it != asked_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    late.push_back(std::move(it->second.answer));
    it = asked_.erase(it);
  }
  for (const ResponseCallback& answer : late) {
    answer(false, "no_answer");
  }
  due_ = ask_at_;
  if (agreement_ && !agreement_->halted()) {
    due_ = std::min(due_, agreement_->next_tick());
  }
}

}  // namespace beechhill::maintenance
