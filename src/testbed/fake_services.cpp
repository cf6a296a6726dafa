#include "testbed/fake_services.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "http/field_values.h"
#include "http/message.h"
#include "http/parser.h"
#include "http/writer.h"

namespace beechhill::testbed {

using namespace std::chrono_literals;
using emulator::FaultKind;
using emulator::FaultSpec;
using net::Io;
using runtime::Clock;
using runtime::Task;
using runtime::TimePoint;
using runtime::Wait;

namespace {

constexpr auto kFar = 1h;             // a stand-in waits as long as its peer likes
constexpr double kMostWork = 3600e6;  // core-microseconds of one request
constexpr auto kWatchLine = 2s;       // an empty line shows that the watch stands
constexpr auto kLookAgain = 5ms;      // whether a silence is over

sockaddr_in any_port() {
  return *net::parse_address("127.0.0.1:0");
}

// Reads one whole request. False where the connection has ended or what came is none.
Task<bool> read_request(net::Stream& stream, std::string& buffer, http::Message& message) {
  http::Parser parser(http::Parser::Kind::kRequest);
  http::Progress progress = parser.feed(buffer);
  while (progress == http::Progress::kMore) {
    const Io io = co_await stream.read(buffer, Clock::now() + kFar);
    if (io != Io::kOk) {
      co_return false;
    }
    progress = parser.feed(buffer);
  }
  message = std::move(parser.message());
  co_return progress == http::Progress::kDone;
}

double work_in(const std::string& target) {
  const std::size_t at = target.find("work_us=");
  if (at == std::string::npos) {
    return 0;
  }
  const std::size_t from = at + 8, to = std::min(target.find('&', from), target.size());
  const auto work = http::whole_number(std::string_view(target).substr(from, to - from));
  return work ? std::min(kMostWork, static_cast<double>(*work)) / 1e6 : 0;
}

const char* word(EndpointStatus state) {
  return state == EndpointStatus::kUp         ? "in_service"
         : state == EndpointStatus::kDraining ? "terminating"
                                              : "terminated";
}

std::string compact(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace

// ---- Node

FakeBackend::FakeBackend(runtime::Scheduler& scheduler, const TestbedClock& clock,
                         const emulator::Scenario& scenario, EndpointId id, ObservationLog* books)
    : scheduler_(scheduler),
      clock_(clock),
      spec_(scenario.tiers[0]),
      model_(spec_, scenario.seed, id, std::nullopt, clock.now()),
      random_(scenario.seed, emulator::Actor::kNode, id + (1ULL << 32)),
      id_(id),
      books_(books) {
  listen();
  scheduler_.spawn(tick());
}

std::string FakeBackend::address() const {
  return net::to_string(dial());
}

void FakeBackend::listen() {
  listener_ = std::make_unique<net::Listener>(scheduler_, dial());
  accepting_ = scheduler_.spawn(accept());
}

void FakeBackend::set_mode(Mode mode) {
  if (mode == mode_) {
    return;
  }
  mode_ = mode;
  const Time now = clock_.now();
  phases_ = {};
  if (mode != Mode::kUp) {
    model_.restart(now, now);  // what it held is lost
    jobs_.clear();
  }
  if (mode == Mode::kSilent) {
    return;  // connections stand, and nothing more is said on them
  }
  const std::set<runtime::TaskId> serving = std::move(serving_);
  serving_.clear();
  for (const runtime::TaskId id : serving) {
    scheduler_.cancel(id);
  }
  if (mode == Mode::kDown) {
    scheduler_.cancel(accepting_);
    listener_.reset();
    return;
  }
  model_.restart(now, now);
  cold_ = true;
  if (!listener_) {
    listen();
  }
}

Task<> FakeBackend::accept() {
  for (;;) {
    net::Fd taken;
    sockaddr_in from{};
    const Io io = co_await listener_->accept(Clock::now() + kFar, taken, from);
    if (io == Io::kError) {  // descriptors are short: others must end first
      Wait wait(scheduler_);
      wait.until(Clock::now() + 10ms);
      co_await wait;
    }
    if (io != Io::kOk) {
      continue;
    }
    ++accepted_;
    if (books_) {
      books_->connected(id_);
    }
    auto stream = std::make_shared<net::Stream>(scheduler_, std::move(taken));
    const auto self = std::make_shared<runtime::TaskId>(0);
    *self = scheduler_.spawn(serve(std::move(stream), self));
    serving_.insert(*self);
  }
}

Task<> FakeBackend::serve(std::shared_ptr<net::Stream> stream,
                          std::shared_ptr<runtime::TaskId> self) {
  struct Leave {
    std::set<runtime::TaskId>& all;
    std::shared_ptr<runtime::TaskId> id;
    ~Leave() { all.erase(*id); }
  } leave{serving_, std::move(self)};
  std::string buffer;
  bool fresh = true;
  for (;;) {
    http::Message request;
    const bool whole = co_await read_request(*stream, buffer, request);
    if (!whole) {
      co_return;
    }
    if (mode_ == Mode::kSilent) {
      continue;
    }
    ++taken_;
    const Time now = clock_.now();
    const std::string* id = request.headers.find("X-Trace-Id");
    int status = 200;
    std::string extra;
    Job job;
    std::vector<emulator::Start> starts;
    const emulator::JobId number = next_job_++;
    const std::optional<CallId> call = books_ && id ? ObservationLog::call_of(*id) : std::nullopt;
    const double work = work_in(request.target) * spec_.work;
    const std::uint32_t attempt = call ? book_arrival(*call, work) : 0;
    const double handshake =
        fresh ? std::chrono::duration<double>(spec_.handshake_work).count() : 0;
    fresh = false;
    if (!id) {
      status = 404;
    } else if (errors_ > 0 && random_.uniform() < errors_) {
      status = 500;
    } else if (!model_.take(now, number, work + handshake, starts)) {
      status = 503;
      extra = "X-Never-Ran: 1\r\n";
    } else {
      jobs_[number] = &job;
      schedule(starts);
      Wait wait(scheduler_);
      wait.notified(job.done);
      co_await wait;
    }
    if (call) {
      books_->ended(*call, attempt,
                    status == 200   ? Result::kOk
                    : status == 503 ? Result::kOverloaded
                                    : Result::kError);
    }
    extra += report(clock_.now());
    const std::string body = (id ? *id : "") + " served\n";
    const std::string answer = http::write_response(status, extra, body, false);
    const Io io = co_await stream->write(answer, Clock::now() + kFar);
    if (io != Io::kOk) {
      co_return;
    }
  }
}

// Ends phases at the times that the model gave them, however late the machine's timer is: a timer
// of 1 ms must not slow the node down.
Task<> FakeBackend::tick() {
  for (;;) {
    while (!phases_.empty() && phases_.top().until <= clock_.now()) {
      const emulator::Start phase = phases_.top();
      phases_.pop();
      const auto it = jobs_.find(phase.job);
      if (it != jobs_.end()) {
        it->second->done.notify();
        jobs_.erase(it);
      }
      std::vector<emulator::Start> starts;
      model_.phase_done(phase.until, true, starts);
      schedule(starts);
    }
    Wait wait(scheduler_);
    wait.notified(rescheduled_);
    if (!phases_.empty()) {
      wait.until(clock_.point(phases_.top().until));
    }
    co_await wait;
  }
}

void FakeBackend::schedule(const std::vector<emulator::Start>& starts) {
  for (const emulator::Start& start : starts) {
    phases_.push(start);
  }
  if (!starts.empty()) {
    rescheduled_.notify();
  }
}

Endpoint FakeBackend::entry() const {
  Endpoint entry;
  entry.id = id_;
  entry.zone = zone();
  entry.cell = cell();
  return entry;
}

std::uint32_t FakeBackend::book_arrival(CallId call, double work) {
  const std::uint32_t attempt = books_->arrived(call, entry());
  const Time now = clock_.now();
  if (cold_ && !model_.cold(now)) {
    cold_ = false, books_->warm(id_);
  }
  if (cold_ && model_.born()) {
    books_->pressed(call, id_, work, model_.capacity(now), *model_.born());
  }
  return attempt;
}

std::string FakeBackend::report(Time now) {
  const LoadReport r = model_.report(now, late_);
  if (!r.utilization || !r.requests_per_s) {
    return "";
  }
  return fmt::format(
      "Endpoint-Load-Metrics: TEXT cpu_share={:.4f}, served_ps={:.2f}, pending={}\r\n",
      *r.utilization, *r.requests_per_s, model_.waiting());
}

// ---- Discovery

FakeDiscovery::FakeDiscovery(runtime::Scheduler& scheduler, const TestbedClock& clock,
                             std::size_t proxy, ObservationLog* books)
    : scheduler_(scheduler),
      clock_(clock),
      listener_(scheduler, any_port()),
      proxy_(proxy),
      books_(books) {
  scheduler_.spawn(accept());
}

std::string FakeDiscovery::address() const {
  return net::to_string(listener_.address());
}

void FakeDiscovery::tell(Json::Value row, const Endpoint& entry, Time at) {
  if (!changes_.empty()) {
    at = std::max(at, changes_.back().due);
  }
  changes_.push_back({at, std::move(row), entry});
  for (runtime::Notifier* w : watchers_) {
    w->notify();
  }
}

void FakeDiscovery::rewind(std::optional<Time> to) {
  horizon_ = to.value_or(Time::max());
  told_ = 0;
  hosts_.clear(), entries_.clear();
  settle();
  ++rewinds_;
  for (runtime::Notifier* w : watchers_) {
    w->notify();
  }
}

void FakeDiscovery::settle() {
  const Time until = std::min(clock_.now(), horizon_);
  for (; told_ < changes_.size() && changes_[told_].due <= until; ++told_) {
    const Json::Value& row = changes_[told_].row;
    if (row["health"].asString() == "terminated") {
      hosts_.erase(row["host"].asString());
      entries_.erase(row["host"].asString());
    } else {
      hosts_[row["host"].asString()] = row;
      entries_[row["host"].asString()] = changes_[told_].entry;
    }
  }
}

Json::Value FakeDiscovery::whole_list() const {
  Json::Value list;
  list["seq"] = static_cast<Json::UInt64>(told_);
  list["whole"] = true;
  list["hosts"] = Json::Value(Json::arrayValue);
  for (const auto& [host, row] : hosts_) {
    list["hosts"].append(row);
  }
  return list;
}

void FakeDiscovery::book_whole() {
  if (!books_) {
    return;
  }
  std::vector<Endpoint> rows;
  for (const auto& [host, entry] : entries_) {
    rows.push_back(entry);
  }
  books_->told(proxy_, rows, true);
}

Task<> FakeDiscovery::while_silent() {
  while (silent_ > 0) {
    Wait wait(scheduler_);
    wait.until(Clock::now() + kLookAgain);
    co_await wait;
  }
}

Task<> FakeDiscovery::accept() {
  for (;;) {
    net::Fd taken;
    sockaddr_in from{};
    const Io io = co_await listener_.accept(Clock::now() + kFar, taken, from);
    if (io != Io::kOk) {
      continue;
    }
    auto stream = std::make_shared<net::Stream>(scheduler_, std::move(taken));
    scheduler_.spawn(serve(std::move(stream)));
  }
}

Task<> FakeDiscovery::serve(std::shared_ptr<net::Stream> stream) {
  struct Watcher {  // leaves the list with its frame
    std::set<runtime::Notifier*>& all;
    runtime::Notifier changed;
    explicit Watcher(std::set<runtime::Notifier*>& a) : all(a) { all.insert(&changed); }
    ~Watcher() { all.erase(&changed); }
  } watcher(watchers_);
  std::string buffer;
  http::Message request;
  const bool whole = co_await read_request(*stream, buffer, request);
  if (!whole) {
    co_return;
  }
  if (books_) {
    books_->asked_whole(proxy_);
  }
  co_await while_silent();
  settle();
  if (request.target.find("watch=1") == std::string::npos) {
    const std::string list = compact(whole_list()) + "\n";
    const std::string answer = http::write_response(200, "", list, true);
    const Io io = co_await stream->write(answer, Clock::now() + kFar);
    if (io == Io::kOk) {
      book_whole();
    }
    co_return;
  }
  std::string out = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string line = compact(whole_list()) + "\n";
  std::size_t version = told_, booked = 0;
  const std::uint64_t rewinds = rewinds_;
  bool listed = false;
  for (;;) {
    co_await while_silent();
    if (rewinds_ != rewinds) {
      co_return;
    }
    out += fmt::format("{:x}\r\n{}\r\n", line.size(), line);
    const Io io = co_await stream->write(out, Clock::now() + kFar);
    if (io != Io::kOk) {
      co_return;
    }
    if (!std::exchange(listed, true)) {
      book_whole();
    } else if (books_) {
      std::vector<Endpoint> rows;
      for (std::size_t i = booked; i < version; ++i) {
        rows.push_back(changes_[i].entry);
      }
      books_->told(proxy_, rows, false);
    }
    booked = version;
    out.clear();
    line = "\n";
    const TimePoint quiet = Clock::now() + kWatchLine;
    while (Clock::now() < quiet) {
      settle();
      if (told_ > version || rewinds_ != rewinds) {
        break;
      }
      Wait wait(scheduler_);
      const bool comes = told_ < changes_.size() && changes_[told_].due <= horizon_;
      const TimePoint due = comes ? std::min(quiet, clock_.point(changes_[told_].due)) : quiet;
      wait.until(due).notified(watcher.changed);
      co_await wait;
    }
    if (rewinds_ != rewinds) {
      co_return;
    }
    if (told_ == version) {
      continue;
    }
    Json::Value list;
    list["seq"] = static_cast<Json::UInt64>(told_);
    list["whole"] = false;
    list["hosts"] = Json::Value(Json::arrayValue);
    for (; version < told_; ++version) {
      list["hosts"].append(changes_[version].row);
    }
    line = compact(list) + "\n";
  }
}

// ---- Fleet

Fleet::Fleet(runtime::Scheduler& scheduler, const TestbedClock& clock,
             const emulator::Scenario& scenario, ObservationLog* books)
    : scheduler_(scheduler),
      clock_(clock),
      s_(scenario),
      books_(books),
      struck_(scenario.faults.size()),
      lags_(scenario.seed, emulator::Actor::kDiscovery, 0) {
  if (s_.tiers.size() != 1) {
    throw std::invalid_argument("tier: stand-in nodes play one tier");
  }
  for (const FaultSpec& f : s_.faults) {
    if (f.kind == FaultKind::kReplace) {
      throw std::invalid_argument("fault.kind: replace is the emulator's alone");
    }
  }
  for (std::size_t i = 0; i < s_.proxies; ++i) {
    agents_.push_back(std::make_unique<FakeDiscovery>(scheduler_, clock_, i, books));
  }
  for (EndpointId id = 0; id < s_.tiers[0].nodes; ++id) {
    nodes_.push_back(std::make_unique<FakeBackend>(scheduler_, clock_, s_, id, books));
  }
  for (std::size_t fault = 0; fault < s_.faults.size(); ++fault) {
    if (!emulator::strikes_links(s_.faults[fault].kind)) {
      continue;
    }
    for (const EndpointId id : emulator::nodes_struck(s_, fault, entries())) {
      for (std::size_t i = 0; i < cut_off(); ++i) {
        if (auto& relay = relays_[{i, id}]; !relay) {
          relay = std::make_unique<TcpFaultProxy>(scheduler_, nodes_[id]->dial());
        }
      }
    }
  }
  for (const auto& n : nodes_) {
    tell_at(*n, EndpointStatus::kUp, [](std::size_t) { return Time::min(); });
  }
}

// A fault of links stands between the first half of the proxies and the nodes that it strikes, as
// in the emulator.
std::size_t Fleet::cut_off() const {
  return emulator::part_of(0.5, s_.proxies);
}

std::vector<Endpoint> Fleet::entries() const {
  std::vector<Endpoint> all;
  for (const auto& n : nodes_) {
    all.push_back(n->entry());
  }
  return all;
}

void Fleet::tell_at(const FakeBackend& node, EndpointStatus state,
                    const std::function<Time(std::size_t)>& due) {
  Endpoint entry = node.entry();
  entry.status = state;
  for (std::size_t i = 0; i < agents_.size(); ++i) {
    const auto relay = relays_.find({i, node.id()});
    const std::string dial = relay != relays_.end() ? relay->second->address() : node.address();
    agents_[i]->tell(row(node, state, dial), entry, due(i));
  }
}

Json::Value Fleet::row(const FakeBackend& node, EndpointStatus state,
                       const std::string& dial) const {
  Json::Value r;
  r["host"] = fmt::format("node-{}", node.id());
  r["dial"] = dial;
  r["site"] = fmt::format("zone-{}", node.zone());
  r["class"] = s_.tiers[0].name;
  r["block"] = node.cell();
  r["health"] = word(state);
  r["share"] = 1.0;
  std::int64_t born = 0;
  if (node.born()) {
    const auto ago = clock_.now() - *node.born();
    born = std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch() - ago)
               .count();
  }
  r["born_ms"] = static_cast<Json::Int64>(born);
  return r;
}

void Fleet::tell(const FakeBackend& node, EndpointStatus state, Duration more) {
  tell_at(node, state, [&](std::size_t) {
    const double spread = lags_.uniform() * std::chrono::duration<double>(s_.list_spread).count();
    return clock_.now() + s_.list_lag + Duration(std::llround(spread * 1e6)) + stale_ + more;
  });
}

void Fleet::restart(EndpointId node) {
  nodes_[node]->set_mode(FakeBackend::Mode::kDown);
  nodes_[node]->set_mode(FakeBackend::Mode::kUp);
  tell(*nodes_[node], EndpointStatus::kUp);
}

void Fleet::begin(std::size_t fault) {
  const FaultSpec& f = s_.faults[fault];
  struck_[fault] = emulator::nodes_struck(s_, fault, entries());
  strike_proxies(f, true);
  if (f.kind == FaultKind::kStaleList) {
    stale_ = f.delay;
  }
  if (f.kind == FaultKind::kLateReports) {
    for (auto& n : nodes_) {
      n->delay_reports(f.delay);
    }
  }
  for (const EndpointId i : struck_[fault]) {
    FakeBackend& n = *nodes_[i];
    if (emulator::strikes_links(f.kind)) {
      strike_links(f, i, true);
    }
    if (f.kind == FaultKind::kErrors) {
      n.set_errors(f.factor);
    }
    if (f.kind == FaultKind::kSlow) {
      n.slow_down(f.factor);
    }
    if (f.kind == FaultKind::kDrain) {
      tell(n, EndpointStatus::kDraining);
    }
    if (f.kind == FaultKind::kCrash) {
      n.set_mode(FakeBackend::Mode::kDown);
      tell(n, EndpointStatus::kRemoved);
    }
    if (f.kind == FaultKind::kSilent) {
      n.set_mode(FakeBackend::Mode::kSilent);
      if (s_.silent_notice > Duration{0} && s_.silent_notice < f.length) {
        tell(n, EndpointStatus::kRemoved, s_.silent_notice);
      }
    }
  }
}

void Fleet::end(std::size_t fault) {
  const FaultSpec& f = s_.faults[fault];
  if (f.kind == FaultKind::kStaleList) {
    stale_ = Duration{0};
  }
  strike_proxies(f, false);
  if (f.kind == FaultKind::kLateReports) {
    for (auto& n : nodes_) {
      n->delay_reports(Duration{0});
    }
  }
  for (const EndpointId i : struck_[fault]) {
    FakeBackend& n = *nodes_[i];
    if (emulator::strikes_links(f.kind)) {
      strike_links(f, i, false);
    }
    if (f.kind == FaultKind::kErrors) {
      n.set_errors(0);
    }
    if (f.kind == FaultKind::kSlow) {
      n.slow_down(1);
    }
    if (f.kind == FaultKind::kDrain) {
      n.set_mode(FakeBackend::Mode::kDown);
    }
    if (f.kind == FaultKind::kDrain || f.kind == FaultKind::kCrash ||
        f.kind == FaultKind::kSilent) {
      n.set_mode(FakeBackend::Mode::kUp);
      tell(n, EndpointStatus::kUp);
    }
  }
}

void Fleet::strike_links(const FaultSpec& f, EndpointId node, bool on) {
  for (std::size_t i = 0; i < cut_off(); ++i) {
    TcpFaultProxy& relay = *relays_.at({i, node});
    if (f.kind == FaultKind::kPartition) {
      relay.cut(on && f.way != emulator::Direction::kBack,
                on && f.way != emulator::Direction::kThere);
    }
    if (f.kind == FaultKind::kLinkDelay) {
      relay.delay(on ? f.delay : Duration{0});
    }
    if (f.kind == FaultKind::kLinkReset && on) {
      relay.reset();
    }
    if (books_ && f.kind != FaultKind::kLinkReset) {
      books_->cut(i, node, on);
    }
  }
}

void Fleet::strike_proxies(const FaultSpec& f, bool begins) {
  const std::vector<std::uint32_t> struck = emulator::proxies_struck(s_, f);
  if (f.kind == FaultKind::kDiscoverySilent) {
    for (const std::uint32_t i : struck) {
      agents_[i]->silence(begins);
    }
  } else if (f.kind == FaultKind::kDiscoveryRewound) {
    for (const std::uint32_t i : struck) {
      agents_[i]->rewind(begins ? std::optional(clock_.now() - f.delay) : std::nullopt);
    }
  } else if ((!struck.empty() || emulator::strikes_talk(f.kind)) && proxies_) {
    proxies_(f, struck, begins);
  }
}

Task<> Fleet::play_faults(StrikeProxies proxies) {
  proxies_ = std::move(proxies);
  struct Turn {
    Time at{0};
    std::size_t fault = 0;
    bool begins = false;
  };
  std::vector<Turn> turns;
  for (std::size_t i = 0; i < s_.faults.size(); ++i) {
    turns.push_back({s_.faults[i].at, i, true});
    turns.push_back({s_.faults[i].at + s_.faults[i].length, i, false});
  }
  std::stable_sort(turns.begin(), turns.end(),
                   [](const Turn& a, const Turn& b) { return a.at < b.at; });
  for (const Turn& turn : turns) {
    Wait wait(scheduler_);
    wait.until(clock_.point(turn.at));
    co_await wait;
    turn.begins ? begin(turn.fault) : end(turn.fault);
  }
}

Json::Value proxy_config(const emulator::Scenario& s, const std::string& name,
                         const std::string& listen, Fleet& fleet, std::uint64_t seed,
                         std::size_t proxy) {
  const Settings told = emulator::settings_for(s, 0, 0, s.proxies, seed);
  Json::Value c;
  c["name"] = name;
  c["listen"] = listen;
  c["discovery"] = fleet.agent(proxy).address();
  c["seed"] = fmt::format("{:016x}", seed);
  c["limits"]["sockets"] = 4096;
  Json::Value& o = c["settings"];
  const auto span = [](Duration d) { return static_cast<Json::Int64>(d.count()); };
  o["zone"] = "zone-0";
  o["tier"] = 0;
  o["tiers"].append(s.tiers[0].name);
  o["replicas-of-me"] = s.proxies;
  o["discovery"] = "push";
  o["over-share-worth"] = told.over_quota_priority_factor;
  for (std::size_t i = 0; i < told.classes.size(); ++i) {
    const ClassSettings& k = told.classes[i];
    static constexpr const char* kRepeat[] = {"repeatable", "by_key", "once"};
    static constexpr const char* kGroup[] = {"all", "zone", "cell"};
    Json::Value p;
    p["name"] = s.classes[i].name;
    p["repeat"] = kRepeat[static_cast<std::size_t>(k.idempotency)];
    p["group"] = kGroup[static_cast<std::size_t>(k.deduplication_scope)];
    p["memory-span"] = span(k.deduplication_window);
    p["aim"] = span(k.latency_objective);
    p["deadline"] = span(k.deadline);
    p["late-worth"] = k.late_priority_factor;
    p["worth"] = k.priority_weight;
    o["profiles"].append(p);
  }
  for (std::size_t i = 0; i < told.tenants.size(); ++i) {
    Json::Value t;
    t["name"] = s.tenants[i].name;
    t["share"] = told.tenants[i].share;
    t["allowance-per-s"] = told.tenants[i].quota_per_s;
    o["tenants"].append(t);
  }
  Json::Value& g = o["guarantees"];
  g["drain-grace"] = span(told.drain_grace);
  g["cold"] = span(told.slow_start_window);
  g["cold-from"] = told.slow_start_initial_weight;
  g["fall-multiple"] = told.overload_collapse_ratio;
  g["tip-after"] = span(told.overload_collapse_delay);
  Json::Value& l = o["limits"];
  l["probes"] = told.health_checks_allowed;
  l["may-cancel"] = told.cancellation_allowed;
  l["parallel-tries"] = told.hedging_allowed;
  l["most-tries"] = told.max_attempts;
  l["connect-timeout"] = span(told.connect_timeout);
  l["idle-close"] = span(told.backend_idle_timeout);
  l["retry-after"] = told.max_retry_after > Duration{0};
  l["max-retry-after"] = span(told.max_retry_after);
  return c;
}

}  // namespace beechhill::testbed
