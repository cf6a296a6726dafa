#include "proxy/decision_actor.h"

#include <algorithm>
#include <cmath>

#include "log/log.h"
#include "proxy/connection_log.h"
#include "proxy/endpoint_watch_actor.h"

namespace beechhill::proxy {
namespace {

// Every message but a list stands for a descriptor's doing, so this is not reached.
constexpr std::size_t kInboxCapacity = 8192;
constexpr std::size_t kMostGone = 16 * 1024;  // ids that operators may still name
constexpr double kUsePart =
    0.05;  // of a report, in the smoothed use of its zone: the last twenty count

// What is heeded on the way back; all else waits for it.
bool is_news(const DecisionMessage& message) {
  return std::holds_alternative<config::EndpointList>(message) ||
         std::holds_alternative<ResyncComplete>(message) ||
         std::holds_alternative<ExcludeBackend>(message) ||
         std::holds_alternative<DispatchPermissions>(message);
}

}  // namespace

DecisionActor::DecisionActor(runtime::Scheduler& scheduler, const config::Config& config,
                             BackendFactory make_peer, EndpointWatchMailbox& watch,
                             const routing::SubsetSettings& subset, std::set<std::string> barred,
                             std::vector<snapshot::EndpointRecord> learned)
    : scheduler_(scheduler),
      make_peer_(std::move(make_peer)),
      watch_(watch),
      inbox_(kInboxCapacity),
      barred_(std::move(barred)),
      drain_grace_(config.named_settings.settings.drain_grace),
      cold_span_(config.named_settings.settings.slow_start_window),
      advice_(config.named_settings.settings.max_retry_after),
      most_tries_(config.named_settings.settings.max_attempts),
      unix_offset_(
          std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch()) -
          now()),
      course_(now(), config.named_settings.settings.drain_grace,
              EndpointWatchActor::kWatchSilenceTimeout, !config.cached_endpoints.entries.empty()),
      balancer_(now(), config.named_settings.settings, actions_) {
  if (subset.min_endpoints > 0) {
    subset_.emplace(subset, routing::subset_unit_for(config.named_settings.settings.classes),
                    config.name);
  }
  for (snapshot::EndpointRecord& row : learned) {
    claims_.try_emplace(row.host, row);
  }
  for (const ClassSettings& c : config.named_settings.settings.classes) {
    memory_spans_.push_back(c.idempotency == Idempotency::kIdempotencyKey
                                ? std::optional(c.deduplication_window)
                                : std::nullopt);
  }
  zones_.id(config.named_settings.zone);  // the settings' own zone is number 0
  perform();
  take_list(config.cached_endpoints, UpdateKind::kCached);
}

// A gap in which the process did not run is noticed here, before anything is decided on what it
// holds.
bool DecisionActor::returning() {
  const Time at = now();
  if (course_.observe_clock(at)) {
    log::info("away", {{"ms", static_cast<std::uint64_t>(course_.gap().count() / 1000)}});
    if (!watch_.post(Resync{course_.needs_snapshot()})) {
      log::dropped_message("catch_up");
    }
  }
  const bool returning = course_.is_resyncing(at);
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
    Time until = waits ? course_.resync_deadline() : now() + course_.observation_interval();
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

void DecisionActor::on(RequestReceived& arrived) {
  ClientRequest& op = *arrived.request;
  if (op.abandoned) {
    return;  // its client left while this word waited
  }
  op.id = next_id_++;
  entries_[op.id].operation = arrived.request;
  if (!serving_permitted()) {  // turned away at once, and harmlessly
    end(entries_[op.id], Rejection{advice_});
    return tidy(op.id);
  }
  Request request;
  request.id = op.id;
  request.class_id = op.class_id;
  request.tenant = op.tenant;
  request.deadline = op.deadline;
  request.streams_body = op.streams_body();
  drive(request);
  tidy(request.id);
}

void DecisionActor::on(RequestAbandoned& left) {
  const RequestId id = left.request->id;
  const auto it = entries_.find(id);
  if (it == entries_.end() || it->second.over) {
    return;
  }
  it->second.over = true;
  drive(ClientDisconnected{id});
  tidy(id);
}

void DecisionActor::on(AttemptCompleted& done) {
  const auto it = entries_.find(done.request_id);
  if (it == entries_.end()) {
    return;
  }
  Entry& entry = it->second;
  --entry.out;
  const bool reached = done.result != Result::kConnectFailed && done.result != Result::kSkipped;
  entry.written = entry.written || reached;
  if (reached && done.result != Result::kOverloaded && !entry.may_have_run) {
    entry.may_have_run = done.attempt_number;
  }
  const ClientRequest& op = *entry.operation;
  const bool spent = op.streams_body() && op.payload->remaining_body()->reading_started();
  const std::shared_ptr<BodyPipe> rest = done.response.remaining_body;
  if (rest) {
    ++backends_[entry.sent[done.attempt_number].server].used;  // until its StreamDone
  }
  if (done.result == Result::kOk && !entry.over) {
    end(entry, std::move(done.response));
  } else if (rest) {
    rest->close_reader();
  }
  if (done.attempt_number < entry.sent.size()) {
    note_use(entry.sent[done.attempt_number].server, done.load_report);
  }
  const Outcome outcome{done.request_id, done.attempt_number, done.result,
                        entry.over,      done.load_report,    spent};
  drive(outcome);
  tidy(done.request_id);
}

void DecisionActor::end(Entry& entry, ClientResponse answer) {
  if (entry.over) {
    return;  // one final answer for an operation
  }
  entry.over = true;
  entry.operation->response = std::move(answer);
  entry.operation->response_ready.notify();
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

void DecisionActor::act(const StartAttempt& a) {
  const auto it = entries_.find(a.id);
  if (it == entries_.end()) {
    return;
  }
  Entry& entry = it->second;
  const ClientRequest& op = *entry.operation;
  AttemptRequest attempt{a.id,
                         static_cast<std::uint32_t>(entry.sent.size()),
                         op.deadline,
                         op.deadline,
                         op.client_timeout,
                         op.payload,
                         entry.operation};
  // Past half of its time a client is better told that nothing was sent than kept waiting for a
  // connection.
  if (!entry.written && entry.out == 0 && !op.streams_body()) {
    attempt.connect_deadline = op.arrived_at + (op.deadline - op.arrived_at) * 9 / 20;
  }
  // Guards against a repeat that waits, in a mailbox or for a connection, until its group has
  // forgotten the first.
  if (const auto& span = memory_spans_[op.class_id]; span && entry.may_have_run) {
    attempt.write_deadline = entry.sent[*entry.may_have_run].at + *span;
  }
  entry.sent.push_back({a.endpoint, now()});
  ++entry.out;
  BackendEntry& backend = backends_[a.endpoint];
  ++backend.used;
  Result never = Result::kOk;
  if (entry.over || op.abandoned || attempt.deadline <= now() || entry.sent.size() > most_tries_) {
    never = Result::kSkipped;
  } else if (backend.state != EndpointStatus::kUp || backend.barred || now() >= backend.until ||
             !backend.peer->post(AttemptRequest(attempt))) {
    never = Result::kConnectFailed;
  }
  if (never != Result::kOk) {
    own_.push_back(AttemptCompleted{a.id, attempt.attempt_number, never, {}, {}});
  }
}

void DecisionActor::act(const Cancel& a) {
  const auto it = entries_.find(a.id);
  if (it == entries_.end() || a.attempt >= it->second.sent.size()) {
    return;
  }
  if (!backends_[it->second.sent[a.attempt].server].peer->post(CancelAttempt{a.id, a.attempt})) {
    log::dropped_message("cancel");
  }
}

void DecisionActor::act(const Reject& a) {
  const auto it = entries_.find(a.id);
  if (it != entries_.end()) {
    end(it->second, Rejection{a.retry_after});
  }
}

void DecisionActor::act(const Fail& a) {
  const auto it = entries_.find(a.id);
  if (it != entries_.end()) {
    end(it->second, Failure{});
  }
}

// ---- Discovery, probes, timers

void DecisionActor::on(config::EndpointList& pool) {
  heard_ = true;
  course_.on_endpoint_update();
  take_list(pool, pool.complete ? UpdateKind::kSnapshot : UpdateKind::kDelta);
}

void DecisionActor::take_list(const config::EndpointList& pool, UpdateKind kind) {
  EndpointUpdate discovery{kind, {}};
  std::vector<bool> named(backends_.size(), false);
  std::vector<std::uint64_t> hashes;
  for (const config::EndpointListEntry& row : pool.entries) {
    if (row.status == EndpointStatus::kRemoved && !servers_.known(row.host)) {
      continue;  // let go already
    }
    Endpoint e;
    e.id = servers_.id(row.host);
    e.status = row.status;
    e.zone = zones_.id(row.zone);
    e.instance_type = kinds_.id(row.instance_type);
    e.cell = row.cell;
    if (row.started_at.count() > 0) {
      e.started_at = std::chrono::duration_cast<Time>(row.started_at) - unix_offset_;
    }
    if (e.id >= backends_.size()) {
      backends_.emplace_back();
    }
    backends_[e.id].zone = e.zone, backends_[e.id].kind = e.instance_type,
    backends_[e.id].cell = e.cell;
    if (!backends_[e.id].peer) {
      backends_[e.id].peer = make_peer_(inbox_, e.id, row.address);
      // Before the list itself: a ban outlasts it.
      if (out(row.host)) {
        bar(e.id, true);
      }
      const auto right = rights_.permitted_until.find(row.host);
      backends_[e.id].until = right == rights_.permitted_until.end() ? Time::max() : right->second;
    }
    named.resize(backends_.size(), false);
    named[e.id] = true;
    tell(e.id, BackendStatus{row.status, row.address, row.started_at});
    discovery.endpoints.push_back(e);
    if (subset_) {
      hashes.push_back(routing::hash_of_name(row.host));
    }
  }
  if (kind != UpdateKind::kDelta) {
    for (EndpointId id = 0; id < named.size(); ++id) {
      if (!named[id] && backends_[id].peer) {
        tell(id, BackendStatus{EndpointStatus::kRemoved, {}, {}});
      }
    }
  }
  std::vector<EndpointId> mentioned;
  for (const Endpoint& e : discovery.endpoints) {
    mentioned.push_back(e.id);
  }
  drive(part_of(std::move(discovery), hashes));
  if (!claims_.empty()) {
    for (const EndpointId id : mentioned) {
      recall(id);
    }
  }
  if (kind == UpdateKind::kSnapshot && recalled_ + void_ + claims_.size() > 0) {
    void_ += claims_.size();  // who is not in it is not there
    claims_.clear();
    log::info("recalled",
              {{"backends", std::exchange(recalled_, 0)}, {"void", std::exchange(void_, 0)}});
  }
  if (kind == UpdateKind::kDelta) {
    for (const EndpointId id : mentioned) {
      let_go(id);
    }
  } else {
    for (EndpointId id = 0; id < backends_.size(); ++id) {
      let_go(id);
    }
  }
}

// What the module is told of a list: all of it, or this proxy's part of the fleet.
EndpointUpdate DecisionActor::part_of(EndpointUpdate list,
                                      const std::vector<std::uint64_t>& hashes) {
  if (!subset_) {
    return list;
  }
  const std::size_t before = subset_->used_endpoints();
  EndpointUpdate part = subset_->apply(list, hashes);
  if (subset_->used_endpoints() != before) {
    log::event(log::Level::kDebug, "subset",
               {{"used", static_cast<std::uint64_t>(subset_->used_endpoints())},
                {"fleet", static_cast<std::uint64_t>(subset_->listed_endpoints())}});
  }
  return part;
}

void DecisionActor::on(ResyncComplete&) {
  course_.on_resync_complete();
}

void DecisionActor::on(GetEndpointCounts& census) {
  const auto [listed, avoided] = balancer_.endpoint_counts(now());
  census.reply->endpoint_count = listed;
  census.reply->avoided_endpoint_count = avoided;
  census.reply->recovery_stage = recovery::name(course_.stage());
  census.reply->complete(200);
}

bool DecisionActor::ever_listed(const std::string& host) const {
  return servers_.known(host).has_value() || gone_.contains(host) || barred_.contains(host);
}

// Bans by hand belong to an id, whether a list names it now or not.
void DecisionActor::on(ExcludeBackend& order) {
  const bool known =
      !order.reply || ever_listed(order.backend_id);  // another process of this proxy knew it
  if (known) {
    const bool changed = order.excluded ? barred_.insert(order.backend_id).second
                                        : barred_.erase(order.backend_id) > 0;
    if (changed) {
      refresh(order.backend_id);
    }
  }
  if (order.reply) {
    order.reply->complete(known ? 200 : 404);
  }
}

// Left out by hand, or out for work: either bars.
bool DecisionActor::out(const std::string& host) const {
  const auto right = rights_.permitted_until.find(host);
  return barred_.contains(host) ||
         (right != rights_.permitted_until.end() && right->second <= now());
}

void DecisionActor::refresh(const std::string& host) {
  const auto server = servers_.known(host);
  if (!server) {
    return;
  }
  BackendEntry& backend = backends_[*server];
  const auto right = rights_.permitted_until.find(host);
  const Time until = right == rights_.permitted_until.end() ? Time::max() : right->second;
  const bool barred = out(host);
  if (barred == backend.barred && until == backend.until) {
    return;
  }
  backend.until = until;
  if (barred != backend.barred) {
    bar(*server, barred);
  }
  tell(*server, BackendStatus{backend.state, backend.address, backend.born});
  let_go(*server);
}

void DecisionActor::on(DispatchPermissions& rights) {
  const DispatchPermissions before = std::exchange(rights_, std::move(rights));
  serve_until_ = rights_.serving_permitted_until;
  for (const auto& [host, until] : before.permitted_until) {
    if (!rights_.permitted_until.contains(host)) {
      refresh(host);
    }
  }
  for (const auto& [host, until] : rights_.permitted_until) {
    refresh(host);
  }
}

std::vector<DecisionActor::ListedBackend> DecisionActor::listed_backends() const {
  std::vector<ListedBackend> all;
  double rates = 0, utils = 0;
  for (EndpointId id = 0; id < backends_.size(); ++id) {
    if (!backends_[id].peer) {
      continue;
    }
    const EndpointStats e = balancer_.endpoint_stats(id);
    rates += e.weighted_rates, utils += e.weighted_utilizations;
  }
  for (EndpointId id = 0; id < backends_.size(); ++id) {
    const BackendEntry& b = backends_[id];
    if (!b.peer || b.state == EndpointStatus::kRemoved) {
      continue;
    }
    const std::string& host = servers_.name(id);
    const EndpointStats e = balancer_.endpoint_stats(id);
    // To the nearest half power of two: what is settled must not move with every report.
    const double weight = e.weighted_utilizations > 1 && rates > 0
                              ? e.weighted_rates / e.weighted_utilizations / (rates / utils)
                              : 1;
    const double width = std::exp2(std::round(2 * std::log2(std::clamp(weight, 0.1, 10.0))) / 2);
    const bool warm = b.born.count() == 0 ||
                      now() >= std::chrono::duration_cast<Time>(b.born) - unix_offset_ + cold_span_;
    all.push_back({host, zones_.name(b.zone), kinds_.name(b.kind), b.cell,
                   b.state == EndpointStatus::kUp && !barred_.contains(host), warm, b.born, width});
  }
  return all;
}

std::map<std::string, double> DecisionActor::utilization_by_zone() const {
  std::map<std::string, double> all;
  for (const auto& [zone, use] : use_) {
    all[zones_.name(zone)] = use;
  }
  return all;
}

void DecisionActor::note_use(EndpointId server, const LoadReport& report) {
  if (!report.utilization || !(*report.utilization >= 0 && *report.utilization <= 1)) {
    return;
  }
  double& use = use_.try_emplace(backends_[server].zone, *report.utilization).first->second;
  use += kUsePart * (*report.utilization - use);
}

std::set<std::string> DecisionActor::busy_excluded_backends() const {
  std::set<std::string> all;
  for (EndpointId id = 0; id < backends_.size(); ++id) {
    if (const BackendEntry& b = backends_[id];
        b.peer && b.barred && (b.used > 0 || now() < b.barred_at + drain_grace_)) {
      all.insert(servers_.name(id));
    }
  }
  return all;
}

void DecisionActor::bar(EndpointId server, bool barred) {
  if (barred && !backends_[server].barred) {
    backends_[server].barred_at = now();
  }
  backends_[server].barred = barred;
  drive(EndpointExclusion{server, barred});
}

void DecisionActor::tell(EndpointId server, BackendStatus status) {
  BackendEntry& backend = backends_[server];
  backend.state = status.status;
  if (status.status != EndpointStatus::kRemoved) {
    backend.address = status.address, backend.born = status.started_at;
  }
  status.permitted_until = backend.until;
  // To its peer a backend that is left out is one that drains: what is not begun stays unsent, idle
  // connections go.
  if (backend.barred && status.status == EndpointStatus::kUp) {
    status.status = EndpointStatus::kDraining;
  }
  if (!backends_[server].peer->post(status)) {
    log::dropped_message("peer_status");
  }
}

// What an earlier process had learned of it.
void DecisionActor::recall(EndpointId server) {
  const auto it = claims_.find(servers_.name(server));
  if (it == claims_.end()) {
    return;
  }
  const snapshot::EndpointRecord row = it->second;
  claims_.erase(it);
  const Duration age = now() + unix_offset_ - std::chrono::duration_cast<Time>(row.recorded_at);
  const auto evidence =
      snapshot::discounted(row.stats, age, row.started_at != backends_[server].born);
  evidence ? ++recalled_ : ++void_;
  if (evidence) {
    drive(RestoredStats{server, *evidence});
  }
}

std::vector<snapshot::EndpointRecord> DecisionActor::endpoint_records() const {
  const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(now() + unix_offset_);
  std::vector<snapshot::EndpointRecord> rows;
  for (const auto& [host, row] : claims_) {
    rows.push_back(row);
  }
  for (EndpointId id = 0; id < backends_.size() && rows.size() < snapshot::kMaxRecords; ++id) {
    const BackendEntry& b = backends_[id];
    const EndpointStats evidence = balancer_.endpoint_stats(id);
    if (b.peer && evidence.weighted_utilizations + evidence.response_weight > 0) {
      rows.push_back({servers_.name(id), b.born, at, evidence});
    }
  }
  return rows;
}

// Frees what belongs to a backend that is gone, once nothing refers to it: days are long, and
// backends many.
void DecisionActor::let_go(EndpointId server) {
  BackendEntry& backend = backends_[server];
  if (!backend.peer || backend.state != EndpointStatus::kRemoved || backend.used > 0) {
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

void DecisionActor::on(ResponseStreamEnded& done) {
  --backends_[done.endpoint].used;
  let_go(done.endpoint);
}

void DecisionActor::on(HealthCheckCompleted& done) {
  drive(HealthCheckResult{done.endpoint, done.result, done.load_report});
  --backends_[done.endpoint].used;
  let_go(done.endpoint);
}

void DecisionActor::act(const HealthCheck& a) {
  ++backends_[a.endpoint].used;
  if (!backends_[a.endpoint].peer->post(CheckHealth{})) {
    own_.push_back(HealthCheckCompleted{a.endpoint, Result::kConnectFailed, {}});
  }
}

void DecisionActor::act(const WatchEndpoints&) {
  if (!watch_.post(EndpointWatchMessage(StartWatch{}))) {
    log::event(log::Level::kDebug, "watch_ordered_already", {});
  }
}

void DecisionActor::act(const SetTimer& a) {
  timers_.emplace(a.at, a.token);
}

}  // namespace beechhill::proxy
