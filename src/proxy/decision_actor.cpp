#include "proxy/decision_actor.h"

#include <algorithm>
#include <cmath>

#include "log/log.h"
#include "proxy/log.h"
#include "proxy/server_list_actor.h"

namespace beechhill::proxy {
namespace {

// Every message but a list stands for a descriptor's doing, so this is not reached.
constexpr std::size_t kInboxCapacity = 8192;
constexpr std::size_t kMostGone = 16 * 1024;  // ids that operators may still name
constexpr double kUsePart =
    0.05;  // of a report, in the smoothed use of its zone: the last twenty count

// What is heeded on the way back; all else waits for it.
bool is_news(const DecisionMessage& message) {
  return std::holds_alternative<config::ServerList>(message) ||
         std::holds_alternative<CaughtUp>(message) || std::holds_alternative<Exclude>(message) ||
         std::holds_alternative<WorkRights>(message);
}

}  // namespace

DecisionActor::DecisionActor(runtime::Scheduler& scheduler, const config::Config& config,
                             PeerFactory make_peer, WatchBox& watch,
                             const routing::SubsetSettings& subset, std::set<std::string> barred,
                             std::vector<snapshot::Row> learned)
    : scheduler_(scheduler),
      make_peer_(std::move(make_peer)),
      watch_(watch),
      inbox_(kInboxCapacity),
      barred_(std::move(barred)),
      drain_grace_(config.named.settings.drain_grace),
      cold_span_(config.named.settings.cold_span),
      advice_(config.named.settings.max_retry_after),
      most_tries_(config.named.settings.most_tries),
      unix_offset_(
          std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch()) -
          now()),
      course_(now(), config.named.settings.drain_grace, ServerListActor::kSilence,
              !config.known.entries.empty()),
      balancer_(now(), config.named.settings, actions_) {
  if (subset.nodes > 0) {
    subset_.emplace(subset, routing::unit_for(config.named.settings.classes), config.name);
  }
  for (snapshot::Row& row : learned) {
    claims_.try_emplace(row.host, row);
  }
  for (const ClassSettings& c : config.named.settings.classes) {
    memory_spans_.push_back(c.effect == Effect::kKeyed ? std::optional(c.memory_span)
                                                       : std::nullopt);
  }
  zones_.id(config.named.zone);  // the settings' own zone is number 0
  perform();
  take_list(config.known, ListKind::kLastHeld);
}

// A gap in which the process did not run is noticed here, before anything is decided on what it
// holds.
bool DecisionActor::returning() {
  const Time at = now();
  if (course_.look(at)) {
    log::info("away", {{"ms", static_cast<std::uint64_t>(course_.gap().count() / 1000)}});
    if (!watch_.post(CatchUp{course_.asks_again()})) {
      log_lost("catch_up");
    }
  }
  const bool returning = course_.returning(at);
  say_stage();
  return returning;
}

void DecisionActor::say_stage() {
  if (std::exchange(said_, course_.stage()) != course_.stage()) {
    log::info("stage", {{"name", recovery::name(said_)}});
  }
}

// Hands on what came on the way back, in its order.
void DecisionActor::catch_up() {
  if (late_.empty()) {
    return;
  }
  for (std::deque<DecisionMessage> late = std::exchange(late_, {}); !late.empty();
       late.pop_front()) {
    std::visit([this](auto& m) { on(m); }, late.front());
  }
}

runtime::Task<> DecisionActor::run() {
  for (;;) {
    while (!inbox_.empty()) {
      DecisionMessage message = inbox_.take();
      const bool held = returning();
      if (held && !is_news(message)) {
        late_.push_back(std::move(message));
        continue;
      }
      if (!held) {
        catch_up();
      }
      std::visit([this](auto& m) { on(m); }, message);
      if (!timers_.empty() && timers_.begin()->first <= now()) {
        break;
      }
    }
    const bool waits = returning();
    if (!waits) {
      catch_up();
    }
    while (!waits && !timers_.empty() && timers_.begin()->first <= now()) {
      const TimerToken token = timers_.begin()->second;
      timers_.erase(timers_.begin());
      drive(Timer{token});
    }
    if (!inbox_.empty()) {
      continue;
    }
    Time until = waits ? course_.hear_by() : now() + course_.beat();
    if (!waits && !timers_.empty()) {
      until = std::min(until, timers_.begin()->first);
    }
    runtime::Wait wait(scheduler_);
    wait.notified(inbox_.arrived()).until(to_point(until));
    co_await wait;
  }
}

void DecisionActor::drive(const Event& event) {
  actions_.clear();
  balancer_.handle(now(), event, actions_);
  perform();
}

void DecisionActor::perform() {
  const std::vector<Action> actions = std::move(actions_);
  actions_.clear();
  for (const Action& action : actions) {
    std::visit([this](const auto& a) { act(a); }, action);
  }
  // An event's actions are carried out before the next event, as the module expects.
  while (!own_.empty()) {
    std::vector<DecisionMessage> own = std::move(own_);
    own_.clear();
    for (DecisionMessage& message : own) {
      std::visit([this](auto& m) { on(m); }, message);
    }
  }
}

// ---- Operations

void DecisionActor::on(Arrived& arrived) {
  ClientRequest& op = *arrived.operation;
  if (op.abandoned) {
    return;  // its client left while this word waited
  }
  op.id = next_id_++;
  entries_[op.id].operation = arrived.operation;
  if (!may_serve()) {  // turned away at once, and harmlessly
    end(entries_[op.id], Refusal{advice_});
    return tidy(op.id);
  }
  Request request;
  request.id = op.id;
  request.class_id = op.class_id;
  request.tenant = op.tenant;
  request.deadline = op.deadline;
  request.large = op.large();
  drive(request);
  tidy(request.id);
}

void DecisionActor::on(Left& left) {
  const RequestId id = left.operation->id;
  const auto it = entries_.find(id);
  if (it == entries_.end() || it->second.over) {
    return;
  }
  it->second.over = true;
  drive(ClientGone{id});
  tidy(id);
}

void DecisionActor::on(AttemptDone& done) {
  const auto it = entries_.find(done.operation);
  if (it == entries_.end()) {
    return;
  }
  Entry& entry = it->second;
  --entry.out;
  const bool reached = done.result != Result::kConnectFailed && done.result != Result::kMoot;
  entry.written = entry.written || reached;
  if (reached && done.result != Result::kFull && !entry.may_have_run) {
    entry.may_have_run = done.attempt;
  }
  const ClientRequest& op = *entry.operation;
  const bool spent = op.large() && op.payload->rest()->begun();
  const std::shared_ptr<BodyPipe> rest = done.reply.rest;
  if (rest) {
    ++backends_[entry.sent[done.attempt].server].used;  // until its StreamDone
  }
  if (done.result == Result::kOk && !entry.over) {
    end(entry, std::move(done.reply));
  } else if (rest) {
    rest->leave();
  }
  if (done.attempt < entry.sent.size()) {
    note_use(entry.sent[done.attempt].server, done.report);
  }
  const Outcome outcome{done.operation, done.attempt, done.result, entry.over, done.report, spent};
  drive(outcome);
  tidy(done.operation);
}

void DecisionActor::end(Entry& entry, Answer answer) {
  if (entry.over) {
    return;  // one final answer for an operation
  }
  entry.over = true;
  entry.operation->answer = std::move(answer);
  entry.operation->answered.notify();
}

void DecisionActor::tidy(RequestId id) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || !it->second.over || it->second.out > 0) {
    return;
  }
  const std::vector<Sent> all = std::move(it->second.sent);
  entries_.erase(it);
  for (const Sent& sent : all) {
    --backends_[sent.server].used;
    let_go(sent.server);
  }
}

void DecisionActor::act(const Send& a) {
  const auto it = entries_.find(a.id);
  if (it == entries_.end()) {
    return;
  }
  Entry& entry = it->second;
  const ClientRequest& op = *entry.operation;
  Attempt attempt{a.id,           static_cast<std::uint32_t>(entry.sent.size()),
                  op.deadline,    op.deadline,
                  op.wait,        op.payload,
                  entry.operation};
  // Past half of its time a client is better told that nothing was sent than kept waiting for a
  // connection.
  if (!entry.written && entry.out == 0 && !op.large()) {
    attempt.connect_by = op.arrived + (op.deadline - op.arrived) * 9 / 20;
  }
  // Guards against a repeat that waits, in a mailbox or for a connection, until its group has
  // forgotten the first.
  if (const auto& span = memory_spans_[op.class_id]; span && entry.may_have_run) {
    attempt.leave_by = entry.sent[*entry.may_have_run].at + *span;
  }
  entry.sent.push_back({a.server, now()});
  ++entry.out;
  Backend& backend = backends_[a.server];
  ++backend.used;
  Result never = Result::kOk;
  if (entry.over || op.abandoned || attempt.deadline <= now() || entry.sent.size() > most_tries_) {
    never = Result::kMoot;
  } else if (backend.state != ServerState::kUp || backend.barred || now() >= backend.until ||
             !backend.peer->post(Attempt(attempt))) {
    never = Result::kConnectFailed;
  }
  if (never != Result::kOk) {
    own_.push_back(AttemptDone{a.id, attempt.number, never, {}, {}});
  }
}

void DecisionActor::act(const Cancel& a) {
  const auto it = entries_.find(a.id);
  if (it == entries_.end() || a.attempt >= it->second.sent.size()) {
    return;
  }
  if (!backends_[it->second.sent[a.attempt].server].peer->post(CancelAttempt{a.id, a.attempt})) {
    log_lost("cancel");
  }
}

void DecisionActor::act(const Refuse& a) {
  const auto it = entries_.find(a.id);
  if (it != entries_.end()) {
    end(it->second, Refusal{a.retry_after});
  }
}

void DecisionActor::act(const Fail& a) {
  const auto it = entries_.find(a.id);
  if (it != entries_.end()) {
    end(it->second, Failed{});
  }
}

// ---- Discovery, probes, timers

void DecisionActor::on(config::ServerList& pool) {
  heard_ = true;
  course_.listed();
  take_list(pool, pool.whole ? ListKind::kFull : ListKind::kChanges);
}

void DecisionActor::take_list(const config::ServerList& pool, ListKind kind) {
  Discovery discovery{kind, {}};
  std::vector<bool> named(backends_.size(), false);
  std::vector<std::uint64_t> hashes;
  for (const config::ServerListEntry& row : pool.entries) {
    if (row.state == ServerState::kRemoved && !servers_.known(row.host)) {
      continue;  // let go already
    }
    ServerEntry e;
    e.server = servers_.id(row.host);
    e.state = row.state;
    e.zone = zones_.id(row.zone);
    e.kind = kinds_.id(row.kind);
    e.cell = row.cell;
    if (row.born.count() > 0) {
      e.born = std::chrono::duration_cast<Time>(row.born) - unix_offset_;
    }
    if (e.server >= backends_.size()) {
      backends_.emplace_back();
    }
    backends_[e.server].zone = e.zone, backends_[e.server].kind = e.kind,
    backends_[e.server].cell = e.cell;
    if (!backends_[e.server].peer) {
      backends_[e.server].peer = make_peer_(inbox_, e.server, row.address);
      // Before the list itself: a ban outlasts it.
      if (out(row.host)) {
        bar(e.server, true);
      }
      const auto right = rights_.until.find(row.host);
      backends_[e.server].until = right == rights_.until.end() ? Time::max() : right->second;
    }
    named.resize(backends_.size(), false);
    named[e.server] = true;
    tell(e.server, PeerStatus{row.state, row.address, row.born});
    discovery.entries.push_back(e);
    if (subset_) {
      hashes.push_back(routing::hash_of_name(row.host));
    }
  }
  if (kind != ListKind::kChanges) {
    for (ServerId id = 0; id < named.size(); ++id) {
      if (!named[id] && backends_[id].peer) {
        tell(id, PeerStatus{ServerState::kRemoved, {}, {}});
      }
    }
  }
  std::vector<ServerId> mentioned;
  for (const ServerEntry& e : discovery.entries) {
    mentioned.push_back(e.server);
  }
  drive(part_of(std::move(discovery), hashes));
  if (!claims_.empty()) {
    for (const ServerId id : mentioned) {
      recall(id);
    }
  }
  if (kind == ListKind::kFull && recalled_ + void_ + claims_.size() > 0) {
    void_ += claims_.size();  // who is not in it is not there
    claims_.clear();
    log::info("recalled",
              {{"backends", std::exchange(recalled_, 0)}, {"void", std::exchange(void_, 0)}});
  }
  if (kind == ListKind::kChanges) {
    for (const ServerId id : mentioned) {
      let_go(id);
    }
  } else {
    for (ServerId id = 0; id < backends_.size(); ++id) {
      let_go(id);
    }
  }
}

// What the module is told of a list: all of it, or this proxy's part of the fleet.
Discovery DecisionActor::part_of(Discovery list, const std::vector<std::uint64_t>& hashes) {
  if (!subset_) {
    return list;
  }
  const std::size_t before = subset_->used();
  Discovery part = subset_->apply(list, hashes);
  if (subset_->used() != before) {
    log::event(log::Level::kDebug, "subset",
               {{"used", static_cast<std::uint64_t>(subset_->used())},
                {"fleet", static_cast<std::uint64_t>(subset_->fleet())}});
  }
  return part;
}

void DecisionActor::on(CaughtUp&) {
  course_.caught_up();
}

void DecisionActor::on(Census& census) {
  const auto [listed, avoided] = balancer_.census(now());
  census.asked->members = listed;
  census.asked->unavailable = avoided;
  census.asked->stage = recovery::name(course_.stage());
  census.asked->answer(200);
}

bool DecisionActor::ever_listed(const std::string& host) const {
  return servers_.known(host).has_value() || gone_.contains(host) || barred_.contains(host);
}

// Bans by hand belong to an id, whether a list names it now or not.
void DecisionActor::on(Exclude& order) {
  const bool known =
      !order.asked || ever_listed(order.host);  // another process of this proxy knew it
  if (known) {
    const bool changed =
        order.out ? barred_.insert(order.host).second : barred_.erase(order.host) > 0;
    if (changed) {
      refresh(order.host);
    }
  }
  if (order.asked) {
    order.asked->answer(known ? 200 : 404);
  }
}

// Left out by hand, or out for work: either bars.
bool DecisionActor::out(const std::string& host) const {
  const auto right = rights_.until.find(host);
  return barred_.contains(host) || (right != rights_.until.end() && right->second <= now());
}

void DecisionActor::refresh(const std::string& host) {
  const auto server = servers_.known(host);
  if (!server) {
    return;
  }
  Backend& backend = backends_[*server];
  const auto right = rights_.until.find(host);
  const Time until = right == rights_.until.end() ? Time::max() : right->second;
  const bool barred = out(host);
  if (barred == backend.barred && until == backend.until) {
    return;
  }
  backend.until = until;
  if (barred != backend.barred) {
    bar(*server, barred);
  }
  tell(*server, PeerStatus{backend.state, backend.address, backend.born});
  let_go(*server);
}

void DecisionActor::on(WorkRights& rights) {
  const WorkRights before = std::exchange(rights_, std::move(rights));
  serve_until_ = rights_.serve_until;
  for (const auto& [host, until] : before.until) {
    if (!rights_.until.contains(host)) {
      refresh(host);
    }
  }
  for (const auto& [host, until] : rights_.until) {
    refresh(host);
  }
}

std::vector<DecisionActor::Listed> DecisionActor::listed() const {
  std::vector<Listed> all;
  double rates = 0, utils = 0;
  for (ServerId id = 0; id < backends_.size(); ++id) {
    if (!backends_[id].peer) {
      continue;
    }
    const Evidence e = balancer_.known(id);
    rates += e.rates, utils += e.utils;
  }
  for (ServerId id = 0; id < backends_.size(); ++id) {
    const Backend& b = backends_[id];
    if (!b.peer || b.state == ServerState::kRemoved) {
      continue;
    }
    const std::string& host = servers_.name(id);
    const Evidence e = balancer_.known(id);
    // To the nearest half power of two: what is settled must not move with every report.
    const double weight = e.utils > 1 && rates > 0 ? e.rates / e.utils / (rates / utils) : 1;
    const double width = std::exp2(std::round(2 * std::log2(std::clamp(weight, 0.1, 10.0))) / 2);
    const bool warm = b.born.count() == 0 ||
                      now() >= std::chrono::duration_cast<Time>(b.born) - unix_offset_ + cold_span_;
    all.push_back({host, zones_.name(b.zone), kinds_.name(b.kind), b.cell,
                   b.state == ServerState::kUp && !barred_.contains(host), warm, b.born, width});
  }
  return all;
}

std::map<std::string, double> DecisionActor::use() const {
  std::map<std::string, double> all;
  for (const auto& [zone, use] : use_) {
    all[zones_.name(zone)] = use;
  }
  return all;
}

void DecisionActor::note_use(ServerId server, const LoadReport& report) {
  if (!report.utilisation || !(*report.utilisation >= 0 && *report.utilisation <= 1)) {
    return;
  }
  double& use = use_.try_emplace(backends_[server].zone, *report.utilisation).first->second;
  use += kUsePart * (*report.utilisation - use);
}

std::set<std::string> DecisionActor::busy() const {
  std::set<std::string> all;
  for (ServerId id = 0; id < backends_.size(); ++id) {
    if (const Backend& b = backends_[id];
        b.peer && b.barred && (b.used > 0 || now() < b.barred_at + drain_grace_)) {
      all.insert(servers_.name(id));
    }
  }
  return all;
}

void DecisionActor::bar(ServerId server, bool barred) {
  if (barred && !backends_[server].barred) {
    backends_[server].barred_at = now();
  }
  backends_[server].barred = barred;
  drive(Barred{server, barred});
}

void DecisionActor::tell(ServerId server, PeerStatus status) {
  Backend& backend = backends_[server];
  backend.state = status.state;
  if (status.state != ServerState::kRemoved) {
    backend.address = status.address, backend.born = status.born;
  }
  status.until = backend.until;
  // To its peer a backend that is left out is one that drains: what is not begun stays unsent, idle
  // connections go.
  if (backend.barred && status.state == ServerState::kUp) {
    status.state = ServerState::kDraining;
  }
  if (!backends_[server].peer->post(status)) {
    log_lost("peer_status");
  }
}

// What an earlier process had learned of it.
void DecisionActor::recall(ServerId server) {
  const auto it = claims_.find(servers_.name(server));
  if (it == claims_.end()) {
    return;
  }
  const snapshot::Row row = it->second;
  claims_.erase(it);
  const Duration age = now() + unix_offset_ - std::chrono::duration_cast<Time>(row.at);
  const auto evidence = snapshot::believed(row.evidence, age, row.born != backends_[server].born);
  evidence ? ++recalled_ : ++void_;
  if (evidence) {
    drive(Recalled{server, *evidence});
  }
}

std::vector<snapshot::Row> DecisionActor::learned() const {
  const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(now() + unix_offset_);
  std::vector<snapshot::Row> rows;
  for (const auto& [host, row] : claims_) {
    rows.push_back(row);
  }
  for (ServerId id = 0; id < backends_.size() && rows.size() < snapshot::kMostRows; ++id) {
    const Backend& b = backends_[id];
    const Evidence evidence = balancer_.known(id);
    if (b.peer && evidence.utils + evidence.answers > 0) {
      rows.push_back({servers_.name(id), b.born, at, evidence});
    }
  }
  return rows;
}

// Frees what belongs to a backend that is gone, once nothing refers to it: days are long, and
// backends many.
void DecisionActor::let_go(ServerId server) {
  Backend& backend = backends_[server];
  if (!backend.peer || backend.state != ServerState::kRemoved || backend.used > 0) {
    return;
  }
  backend.peer.reset();
  if (backend.barred) {
    bar(server, false);  // its number may be another's next; barred_ keeps the ban
  }
  const std::string& host = servers_.name(server);
  if (gone_.insert(host).second) {
    gone_order_.push_back(host);
  }
  if (gone_order_.size() > kMostGone) {
    gone_.erase(gone_order_.front());
    gone_order_.pop_front();
  }
  servers_.forget(server);
}

void DecisionActor::on(StreamDone& done) {
  --backends_[done.server].used;
  let_go(done.server);
}

void DecisionActor::on(ProbeDone& done) {
  drive(ProbeResult{done.server, done.result, done.report});
  --backends_[done.server].used;
  let_go(done.server);
}

void DecisionActor::act(const Probe& a) {
  ++backends_[a.server].used;
  if (!backends_[a.server].peer->post(ProbePeer{})) {
    own_.push_back(ProbeDone{a.server, Result::kConnectFailed, {}});
  }
}

void DecisionActor::act(const Watch&) {
  if (!watch_.post(WatchMessage(WatchNow{}))) {
    log::event(log::Level::kDebug, "watch_ordered_already", {});
  }
}

void DecisionActor::act(const SetTimer& a) {
  timers_.emplace(a.at, a.token);
}

}  // namespace beechhill::proxy
