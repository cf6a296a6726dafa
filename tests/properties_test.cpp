// Random runs of the decision module, from fixed seeds and over drawn deployments, against the
// rules of emulator::RuleChecker and against what must always be true of it from outside. A run
// that fails prints its seed, its last events and the history of the request.
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <sstream>

#include "emulator/random.h"
#include "emulator/rules.h"
#include "emulator/world.h"
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

using emulator::Actor;
using emulator::Scenario;
using emulator::Stream;
using emulator::to_duration;
using emulator::to_s;

constexpr std::size_t kLoggedEvents = 24;  // that a failing run prints
constexpr EndpointId kLastEndpoints = 5;   // that are left in the last phase of a run

double log_uniform(Stream& random, double from, double to) {
  return from * std::pow(to / from, random.uniform());
}
template <typename T>
T one_of(Stream& random, std::initializer_list<T> of) {
  return *(of.begin() + static_cast<std::ptrdiff_t>(random.below(of.size())));
}

emulator::ClassSpec drawn_class(Stream& random, std::size_t number) {
  emulator::ClassSpec c;
  c.name = "c" + std::to_string(number);
  ClassSettings& k = c.settings;
  k.idempotency = static_cast<Idempotency>(random.below(3));
  k.deduplication_scope = static_cast<DeduplicationScope>(random.below(3));
  k.latency_objective = to_duration(log_uniform(random, 0.02, 30));
  k.deadline = k.latency_objective + to_duration(3 * random.uniform() * to_s(k.latency_objective));
  k.deduplication_window = to_duration(log_uniform(random, 0.2, 3) * to_s(k.deadline));
  k.priority_weight = one_of(random, {0.0, 1.0, 1.0, 3.0, 10.0});
  k.late_priority_factor = one_of(random, {0.0, 0.0, 0.3});
  k.latency_objective_work_factor = one_of(random, {0.0, 2.0});
  k.streaming = random.below(4) == 0;
  c.work_s = to_s(k.latency_objective) / 10;
  return c;
}

class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed)
      : seed_(seed),
        random_(seed, Actor::kClients, 0),
        deployment_(draw_deployment()),
        rules_(deployment_),
        driver_(draw_settings()) {
    driver_.on_actions = [this](const std::vector<Action>& actions) { carry_out(actions); };
    endpoints_.resize(one_of<std::size_t>(random_, {1, 2, 6, 20, 60, 300}));
    for (EndpointId id = 0; id < endpoints_.size(); ++id) {
      endpoints_[id].entry = {id, EndpointStatus::kRemoved, 0, 0, {}, 0};
      draw_entry(endpoints_[id].entry);
    }
  }

  // The text of all actions.
  std::string run() {
    if (random_.below(4) > 0) {
      send_snapshot(UpdateKind::kCached);  // else it knows no endpoint yet
    }
    const Duration longest = emulator::longest_deadline(deployment_);
    const double gap = to_s(longest) / log_uniform(random_, 20, 400);
    for (int i = 0; i < 400; ++i) {
      advance(driver_.now + to_duration(random_.exponential(gap)));
      send_request();
      if (random_.below(8) == 0) {
        draw_disturbance();
      }
    }
    advance(driver_.now + 2 * longest);
    for (const auto& [id, c] : requests_) {
      if (!c.is_answered) {
        fail("request " + std::to_string(id) + " has no answer");
      }
      if (c.in_flight > 0) {
        fail("request " + std::to_string(id) + " has an attempt without an outcome");
      }
    }
    check_recovery();
    return text_.str();
  }

 private:
  struct SimulatedEndpoint {
    Endpoint entry;
    bool excluded = false;
    // Since when the module has known that nothing may be sent to it.
    std::optional<Time> unavailable_since;
    double error_rate = 0;
    double silence_rate = 0;
    double overload_rate = 0;
    double relative_latency = 0.1;  // of the class's objective
  };
  struct Attempt {
    EndpointId endpoint = 0;
    bool is_open = true;
    bool may_have_run = true;
    bool streamed = false;
  };
  struct OpenRequest {
    ClassId class_id = 0;
    Time arrived_at{0};
    Time deadline{0};
    bool is_answered = false;
    bool streams_body = false;
    bool body_consumed = false;
    int in_flight = 0;
    std::vector<Attempt> attempts;
  };

  // ---- Deployment

  Scenario draw_deployment() {
    Scenario s;
    const std::size_t classes = one_of<std::size_t>(random_, {1, 2, 3, 10});
    for (std::size_t i = 0; i < classes; ++i) {
      s.classes.push_back(drawn_class(random_, i));
    }
    s.drain_grace = Duration{-1};  // the module itself sends nothing new from that event on
    s.answer_grace = Duration{0};
    s.hedging_allowed = random_.below(2) == 0;
    return s;
  }

  Settings draw_settings() {
    Settings s;
    s.seed = random_.bits();
    for (const auto& c : deployment_.classes) {
      s.classes.push_back(c.settings);
    }
    const std::size_t tenants = one_of<std::size_t>(random_, {0, 1, 7, 40});
    for (std::size_t i = 0; i < tenants; ++i) {
      s.tenants.push_back({1, one_of(random_, {0.0, 0.1, 5.0})});
    }
    s.over_quota_priority_factor = random_.uniform();
    s.tier_count = 1 + static_cast<std::uint32_t>(random_.below(3));
    s.tier = static_cast<std::uint32_t>(random_.below(s.tier_count));
    s.replicas = one_of<std::uint32_t>(random_, {1, 2, 15, 100});
    s.time_step = one_of(random_, {milliseconds(1), milliseconds(4)});
    s.discovery_polling_required = random_.below(4) == 0;
    s.discovery_poll_interval = milliseconds(10000);
    s.slow_start_window = to_duration(one_of(random_, {0.0, 2.0, 30.0}));
    s.slow_start_initial_weight = log_uniform(random_, 0.05, 1);
    s.overload_collapse_ratio = 1 + 3 * random_.uniform();
    s.overload_collapse_delay = milliseconds(3000);
    s.load_reports_require_health_checks = random_.below(2) == 0;
    s.health_checks_allowed = random_.below(2) == 0;
    s.health_check_cost = one_of(random_, {0.0, 0.01, 1.0});
    s.cancellation_allowed = random_.below(2) == 0;
    s.hedging_allowed = deployment_.hedging_allowed;
    s.max_attempts = 1 + static_cast<std::uint32_t>(random_.below(6));
    s.max_retry_after = milliseconds(1500);
    s.connect_timeout = one_of(random_, {milliseconds(5), milliseconds(100)});
    s.cross_zone_cost = one_of(random_, {0.0, 1.0});
    settings_ = s;
    return s;
  }

  void draw_entry(Endpoint& e) {  // another machine of that id
    e.zone = static_cast<std::uint32_t>(random_.below(3));
    e.cell = static_cast<std::uint32_t>(random_.below(4));
    e.instance_type = static_cast<std::uint32_t>(random_.below(3));
    e.started_at.reset();
    if (random_.below(2) == 0) {
      e.started_at = driver_.now - to_duration(20 * random_.uniform());
    }
    e.status = EndpointStatus::kUp;
  }

  double draw_absurd_figure() {
    using Limits = std::numeric_limits<double>;
    return one_of(random_, {Limits::quiet_NaN(), Limits::infinity(), -Limits::infinity(), -1.0, 0.0,
                            1e-300, 1e308, 1e5});
  }
  LoadReport draw_report() {
    if (plain_reports_) {
      return {};
    }
    if (random_.below(3) == 0) {
      return {};
    }
    if (random_.below(10) == 0) {
      return {draw_absurd_figure(), draw_absurd_figure()};
    }
    return {random_.uniform(), 100 * random_.uniform()};
  }

  // ---- Time

  void at(Time when, std::function<void()> what) { tasks_.emplace(when, std::move(what)); }

  void advance(Time until) {
    while (!tasks_.empty() && tasks_.begin()->first <= until) {
      const Time when = std::max(driver_.now, tasks_.begin()->first);
      const auto what = std::move(tasks_.begin()->second);
      tasks_.erase(tasks_.begin());
      driver_.advance(when - driver_.now);
      what();
    }
    driver_.advance(until - driver_.now);
  }

  void handle(const Event& event, const std::string& what) {
    event_log_.push_back(std::to_string(to_s(driver_.now)) + " " + what);
    if (event_log_.size() > kLoggedEvents) {
      event_log_.pop_front();
    }
    driver_.handle(event);
  }

  // ---- Clients

  void send_request() {
    const RequestId id = next_request_++;
    OpenRequest& open = requests_[id];
    open.class_id = static_cast<ClassId>(random_.below(deployment_.classes.size()));
    const Duration all = deployment_.classes[open.class_id].settings.deadline;
    open.arrived_at = driver_.now;
    open.deadline = driver_.now + to_duration(to_s(all) * one_of(random_, {1.0, 1.0, 0.4, 0.01}));
    open.streams_body = random_.below(20) == 0;
    Request r;
    r.id = id;
    r.class_id = open.class_id;
    if (!settings_.tenants.empty() && random_.below(10) > 0) {
      r.tenant = static_cast<TenantId>(random_.below(settings_.tenants.size()));
    }
    r.deadline = open.deadline;
    r.streams_body = open.streams_body;
    if (random_.below(2) == 0) {
      r.work_hint = to_duration(to_s(all) / 20);
    }
    rules_.taken(driver_.now, id, r.class_id, r.deadline);
    at(r.deadline, [this, id] { expire(id); });
    if (random_.below(12) == 0) {
      at(driver_.now + to_duration(to_s(all) * random_.uniform()), [this, id] { disconnect(id); });
    }
    handle(r, "request " + std::to_string(id) + " class " + std::to_string(r.class_id));
  }

  void disconnect(RequestId id) {
    OpenRequest& open = requests_.at(id);
    if (open.is_answered) {
      return;
    }
    open.is_answered = true;
    rules_.answered(driver_.now, id, false);  // no answer is due any more
    handle(ClientDisconnected{id}, "client of " + std::to_string(id) + " leaves");
  }

  // The embedder stops waiting: an answer after this is late.
  void expire(RequestId id) {
    for (std::uint32_t i = 0; i < requests_.at(id).attempts.size(); ++i) {
      outcome(id, i, requests_.at(id).is_answered ? Result::kCancelled : Result::kTimeout);
    }
    rules_.overdue(driver_.now, id);
    check();
  }

  // ---- Attempts

  void outcome(RequestId id, std::uint32_t attempt, Result result) {
    OpenRequest& open = requests_.at(id);
    Attempt& a = open.attempts[attempt];
    if (!a.is_open) {
      return;
    }
    a.is_open = false;
    a.may_have_run = result != Result::kOverloaded && result != Result::kConnectFailed &&
                     result != Result::kSkipped;
    --open.in_flight;
    rules_.ended(driver_.now, id, attempt, result);
    if (result == Result::kOk && !open.is_answered) {
      open.is_answered = true;
      rules_.answered(driver_.now, id, false);
    }
    open.body_consumed = open.body_consumed || (open.streams_body && random_.below(2) == 0);
    handle(Outcome{id, attempt, result, open.is_answered, draw_report(), open.body_consumed},
           "outcome " + std::to_string(static_cast<int>(result)) + " of " + std::to_string(id) +
               "." + std::to_string(attempt));
    // A request neither in flight nor answered is queued, and only while it cannot have run: a
    // request that is given up is answered now.
    const bool maybe = std::any_of(open.attempts.begin(), open.attempts.end(),
                                   [](auto& x) { return x.may_have_run; });
    if (!open.is_answered && open.in_flight == 0 && (maybe || open.body_consumed)) {
      fail("request " + std::to_string(id) + " is neither in flight nor answered");
    }
  }

  void carry_out(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      text_ << action.index() << ' ';
      std::visit([this](const auto& a) { act(a); }, action);
    }
    check();
  }

  void act(const StartAttempt& a) {
    text_ << a.id << '>' << a.endpoint << ' ';
    OpenRequest& open = requests_.at(a.id);
    const SimulatedEndpoint& s = endpoints_.at(a.endpoint);
    rules_.sent(driver_.now, a.id, 0, a.endpoint, s.entry, s.unavailable_since);
    if (open.body_consumed) {
      fail("request " + std::to_string(a.id) + " sent again after its body was consumed");
    }
    if (open.attempts.size() >= settings_.max_attempts) {
      fail("too many attempts of " + std::to_string(a.id));
    }
    const auto attempt = static_cast<std::uint32_t>(open.attempts.size());
    open.attempts.push_back({a.endpoint});
    ++open.in_flight;
    const double chance = random_.uniform();
    Result result = Result::kOk;
    double latency = s.relative_latency;
    if (chance < s.silence_rate) {
      return;  // silent until the deadline
    }
    if (chance < s.silence_rate + s.error_rate) {
      result = one_of(random_, {Result::kError, Result::kReset});
      latency = 1e-3;
    } else if (chance < s.silence_rate + s.error_rate + s.overload_rate) {
      result = Result::kOverloaded;
      latency = 1e-3;
    } else if (random_.below(25) == 0) {
      result = static_cast<Result>(random_.below(8));
    }
    const Duration after = to_duration(random_.exponential(
        latency * to_s(deployment_.classes[open.class_id].settings.latency_objective)));
    const RequestId id = a.id;
    if (driver_.now + after < open.deadline) {
      at(driver_.now + after, [this, id, attempt, result] { outcome(id, attempt, result); });
    }
    if (deployment_.classes[open.class_id].settings.streaming && result == Result::kOk) {
      at(driver_.now + after / 2, [this, id, attempt] {
        OpenRequest& m = requests_.at(id);
        if (m.is_answered || !m.attempts[attempt].is_open) {
          return;
        }
        m.attempts[attempt].streamed = true;
        handle(FirstByte{id, attempt}, "first byte of " + std::to_string(id));
      });
    }
  }
  void act(const Cancel& a) {
    const Attempt& attempt = requests_.at(a.id).attempts.at(a.attempt);
    if (!attempt.is_open || attempt.streamed) {
      fail("cancel of an attempt that is over or streams: " + std::to_string(a.id));
    }
    if (!settings_.cancellation_allowed) {
      fail("cancel where none is allowed");
    }
    at(driver_.now, [this, a] { outcome(a.id, a.attempt, Result::kCancelled); });
  }
  void act(const Reject& a) { answered(a.id, true); }
  void act(const Fail& a) { answered(a.id, false); }
  void answered(RequestId id, bool refusal) {
    text_ << id << ' ';
    rules_.answered(driver_.now, id, refusal);
    OpenRequest& open = requests_.at(id);
    open.is_answered = true;
    // At the first tier a client is rejected before half of its own time is over.
    const Duration half = (open.deadline - open.arrived_at) / 2 + settings_.time_step;
    if (open.attempts.empty() && settings_.tier == 0 && driver_.now > open.arrived_at + half) {
      fail("request " + std::to_string(id) + " was queued for too long");
    }
  }
  void act(const HealthCheck& a) {
    if (!settings_.health_checks_allowed) {
      fail("health check where none is allowed");
    }
    if (endpoints_.at(a.endpoint).unavailable_since) {
      fail("health check of an endpoint that is unavailable");
    }
    const Result result = random_.below(5) == 0 ? Result::kTimeout : Result::kOk;
    at(driver_.now + milliseconds(5), [this, a, result] {
      handle(HealthCheckResult{a.endpoint, result, draw_report()}, "health check");
    });
  }
  void act(const SetTimer& a) {
    if (a.at < driver_.now) {
      fail("a timer in the past");
    }
  }
  void act(const WatchEndpoints&) {
    if (random_.below(2) == 0) {
      at(driver_.now,
         [this] { handle(EndpointUpdate{UpdateKind::kFailed, {}}, "discovery fails"); });
    }
  }

  // ---- Endpoints and their list

  void track_availability(SimulatedEndpoint& s) {
    const bool may = s.entry.status == EndpointStatus::kUp && !s.excluded;
    if (may) {
      s.unavailable_since.reset();
    }
    if (!may && !s.unavailable_since) {
      s.unavailable_since = driver_.now;
    }
  }

  SimulatedEndpoint& any_endpoint() { return endpoints_[random_.below(endpoints_.size())]; }

  void send_snapshot(UpdateKind kind) {
    EndpointUpdate d{kind, {}};
    const double part = one_of(random_, {0.0, 0.3, 0.9, 1.0, 1.0});
    for (SimulatedEndpoint& s : endpoints_) {
      s.entry.status = EndpointStatus::kRemoved;
      if (random_.uniform() < part) {
        s.entry.status = one_of(random_, {EndpointStatus::kUp, EndpointStatus::kUp,
                                          EndpointStatus::kUp, EndpointStatus::kDraining});
        d.endpoints.push_back(s.entry);
      }
    }
    for (SimulatedEndpoint& s : endpoints_) {
      track_availability(s);
    }
    handle(d, "snapshot of " + std::to_string(d.endpoints.size()));
  }

  void send_delta() {
    EndpointUpdate d{UpdateKind::kDelta, {}};
    const std::size_t most = 1 + random_.below(std::max<std::size_t>(1, endpoints_.size() / 3));
    std::set<EndpointId> named;
    for (std::size_t i = 0; i < most; ++i) {
      SimulatedEndpoint& s = any_endpoint();
      if (!named.insert(s.entry.id).second) {
        continue;
      }
      switch (random_.below(4)) {
        case 0:
          s.entry.status = EndpointStatus::kDraining;
          break;
        case 1:
          s.entry.status = EndpointStatus::kRemoved;
          break;
        case 2:  // the same id stands for another machine, or it has moved
          draw_entry(s.entry);
          break;
        default:
          s.entry.status = EndpointStatus::kUp;
          s.entry.started_at = driver_.now - to_duration(2 * random_.uniform());
      }
      track_availability(s);
      d.endpoints.push_back(s.entry);
      // A list may leave out where a removed endpoint stood.
      if (s.entry.status == EndpointStatus::kRemoved && random_.below(2) == 0) {
        d.endpoints.back().zone = d.endpoints.back().cell = 0;
      }
    }
    handle(d, std::to_string(d.endpoints.size()) + " deltas");
  }

  void draw_disturbance() {
    switch (random_.below(6)) {
      case 0:
        return send_snapshot(UpdateKind::kSnapshot);
      case 1:
        return send_delta();
      case 2: {
        SimulatedEndpoint& s = any_endpoint();
        s.excluded = !s.excluded;
        track_availability(s);
        return handle(
            EndpointExclusion{s.entry.id, s.excluded},
            (s.excluded ? "exclusion of " : "end of exclusion of ") + std::to_string(s.entry.id));
      }
      case 3: {
        SimulatedEndpoint& s = any_endpoint();
        s.error_rate = one_of(random_, {0.0, 0.5}),
        s.silence_rate = one_of(random_, {0.0, 0.0, 1.0});
        s.overload_rate = one_of(random_, {0.0, 0.3}),
        s.relative_latency = one_of(random_, {0.05, 0.2, 1.0});
        return;
      }
      case 4:
        for (SimulatedEndpoint& s : endpoints_) {
          s.relative_latency = one_of(random_, {0.1, 0.1, 2.0});
        }
        return;
      default:
        return advance(
            driver_.now +
            to_duration(one_of(random_, {0.001, 1.0, 100.0})));  // no requests; time passes
    }
  }

  // ---- What must be true at the end: a few healthy endpoints, nothing in flight, after a long
  // pause

  std::size_t send_requests(int n, std::vector<RequestId>* ids = nullptr) {
    const std::size_t before = driver_.attempts.size();
    for (int i = 0; i < n; ++i) {
      const RequestId id = next_request_++;
      OpenRequest& open = requests_[id];
      const ClassSettings& k = deployment_.classes[0].settings;
      open.arrived_at = driver_.now;
      open.deadline = driver_.now + k.deadline;
      rules_.taken(driver_.now, id, 0, open.deadline);
      at(open.deadline, [this, id] { expire(id); });
      handle(Request{id, 0, kNoTenant, open.deadline, {}}, "request " + std::to_string(id));
      if (ids) {
        ids->push_back(id);
      }
    }
    return driver_.attempts.size() - before;
  }

  void check_recovery() {
    endpoints_.resize(std::max<std::size_t>(endpoints_.size(), kLastEndpoints));
    for (EndpointId id = 0; id < endpoints_.size(); ++id) {
      SimulatedEndpoint& s = endpoints_[id];
      s.entry.id = id;
      if (s.excluded) {
        s.excluded = false;
        handle(EndpointExclusion{id, false}, "end of exclusion");
      }
      s.entry.status = id < kLastEndpoints ? EndpointStatus::kUp : EndpointStatus::kRemoved;
      s.entry.started_at.reset();
      s.error_rate = 0;
      s.overload_rate = 0;
      s.silence_rate = 1;
      track_availability(s);
    }
    EndpointUpdate d{UpdateKind::kSnapshot, {}};
    for (EndpointId id = 0; id < kLastEndpoints; ++id) {
      endpoints_[id].entry.instance_type = 0;
      d.endpoints.push_back(endpoints_[id].entry);
    }
    handle(d, "the last snapshot");
    advance(driver_.now + std::chrono::hours(2));
    plain_reports_ = true;
    std::vector<RequestId> ids;
    if (send_requests(1, &ids) != 1) {
      fail("a lone request is queued with all endpoints idle");
    }
    if (!requests_.at(ids[0]).attempts.empty()) {
      outcome(ids[0], 0, Result::kOk);
    }
    // No report, however absurd, outlives sixty plain ones: each of five equal endpoints has its
    // part. Where crossing has a cost and the own zone has endpoints, others may get none: it is
    // half used.
    for (int i = 0; i < 60; ++i) {
      for (EndpointId id = 0; id < kLastEndpoints; ++id) {
        handle(HealthCheckResult{id, Result::kOk, {0.5, 10.0}}, "plain report");
      }
    }
    std::map<EndpointId, int> got;
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
      const std::size_t before = driver_.attempts.size();
      ids.clear();
      send_requests(1, &ids);
      if (driver_.attempts.size() > before) {
        ++sent;
        ++got[driver_.attempts.back().endpoint];
      }
      advance(driver_.now + deployment_.classes[0].settings.latency_objective / 20);
      if (!requests_.at(ids[0]).attempts.empty()) {
        outcome(ids[0], 0, Result::kOk);
      }
    }
    const auto in_own_zone = [&](EndpointId id) {
      return endpoints_[id].entry.zone == settings_.zone;
    };
    bool all = true;
    for (EndpointId id = 0; id < kLastEndpoints; ++id) {
      all &= settings_.cross_zone_cost == 0 || !in_own_zone(id);
    }
    for (EndpointId id = 0; id < kLastEndpoints; ++id) {
      if ((all || in_own_zone(id)) &&
          20 * got[id] < sent - 20) {  // a low limit lets few requests through
        fail("endpoint " + std::to_string(id) + " gets " + std::to_string(got[id]) + " of " +
             std::to_string(sent) + " requests");
      }
    }
    // The limit is finite once requests have timed out.
    send_requests(300);
    advance(driver_.now + 2 * emulator::longest_deadline(deployment_));
    if (send_requests(300) >= 300) {
      fail("the limit stays open after nothing was answered");
    }
    advance(driver_.now + 2 * emulator::longest_deadline(deployment_));
  }

  // ---- Verdict

  void check() {
    if (rules_.all() == 0 || failed_) {
      return;
    }
    const auto& v = rules_.violations().front();
    fail(std::string(name_of(v.rule)) + ": " + v.what + "\n" + v.trace);
  }
  void fail(const std::string& what) {
    if (std::exchange(failed_, true)) {
      return;
    }
    std::string script;
    for (const std::string& line : event_log_) {
      script += "  " + line + "\n";
    }
    ADD_FAILURE() << "seed " << seed_ << ": " << what << "\nlast events:\n" << script;
  }

  const std::uint64_t seed_;
  Stream random_;
  Settings settings_;
  Scenario deployment_;
  emulator::RuleChecker rules_;
  Driver driver_;
  std::vector<SimulatedEndpoint> endpoints_;
  std::map<RequestId, OpenRequest> requests_;
  std::multimap<Time, std::function<void()>> tasks_;
  std::deque<std::string> event_log_;
  std::ostringstream text_;
  RequestId next_request_ = 1;
  bool plain_reports_ = false;  // no absent or absurd ones
  bool failed_ = false;
};

class Runs : public testing::TestWithParam<std::uint64_t> {};

TEST_P(Runs, KeepTheRules) {
  for (std::uint64_t i = 0; i < 50 && !HasFailure(); ++i) {
    RandomRun(50 * GetParam() + i).run();
  }
}
INSTANTIATE_TEST_SUITE_P(Random, Runs, testing::Range<std::uint64_t>(0, 12));

TEST(Runs, EqualEventsGiveEqualActions) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    EXPECT_EQ(RandomRun(seed).run(), RandomRun(seed).run());
  }
}

// ---- Whole simulated worlds, where the capacity of endpoints is known, as the fourth rule needs

Scenario drawn_world(std::uint64_t seed) {
  Stream random(seed, Actor::kFaults, 1);
  Scenario s;
  s.seed = seed;
  s.name = "drawn-" + std::to_string(seed);
  emulator::TierSpec tier;
  tier.name = "only";
  tier.nodes = one_of<std::uint32_t>(random, {3, 8, 24, 100});
  tier.cores = std::min(one_of<std::uint32_t>(random, {1, 2, 8, 32}), 256 / tier.nodes);
  tier.slots = tier.cores * 12;
  tier.room = tier.cores * 12;
  tier.zones = 1 + static_cast<std::uint32_t>(random.below(3));
  tier.speed = {0.7, 1.1};
  tier.cold_from = log_uniform(random, 0.1, 0.5);
  tier.cold_span = to_duration(log_uniform(random, 5, 25));
  tier.collapse_queue_per_core = 6;
  s.tiers.push_back(tier);
  s.proxies = one_of<std::uint32_t>(random, {1, 4, 30});
  s.load.utilisation = 0.3 + 0.6 * random.uniform();
  const std::size_t classes = one_of<std::size_t>(random, {1, 2, 4});
  // So much work a request that a minute holds some ten thousand of them, and the rule's window
  // more than a few.
  const double work = std::clamp(
      60.0 * tier.nodes * tier.cores / 12'000 * log_uniform(random, 0.7, 2), 0.002, 0.25);
  for (std::size_t i = 0; i < classes; ++i) {
    emulator::ClassSpec c = drawn_class(random, i);
    c.work_s = work * log_uniform(random, 0.7, 1.4);
    c.settings.latency_objective = to_duration(c.work_s * log_uniform(random, 6, 30));
    c.settings.deadline =
        to_duration(to_s(c.settings.latency_objective) * (1.5 + 2 * random.uniform()));
    c.settings.deduplication_window = c.settings.deadline;
    c.settings.latency_objective_work_factor = 0;
    c.settings.streaming = false;
    s.classes.push_back(c);
  }
  s.length = std::chrono::seconds(60);
  for (int i = 0; i < 3; ++i) {
    using Kind = emulator::FaultKind;
    emulator::FaultSpec f;
    f.kind = one_of(random, {Kind::kSilent, Kind::kCrash, Kind::kCrash, Kind::kDrain,
                             Kind::kReplace, Kind::kProxyCrash, Kind::kStaleList, Kind::kErrors,
                             Kind::kSlow, Kind::kLateReports});
    f.at = to_duration(5 + 10 * i + 5 * random.uniform());
    f.length = to_duration(4 + 6 * random.uniform());
    f.part = one_of(random, {0.1, 0.3, 0.5});
    f.factor = f.kind == Kind::kErrors ? 0.6 : 2;
    f.delay = std::chrono::seconds(3);
    s.faults.push_back(f);
  }
  return s;
}

class Worlds : public testing::TestWithParam<std::uint64_t> {};

TEST_P(Worlds, KeepTheRules) {
  for (std::uint64_t i = 0; i < 6; ++i) {
    const std::uint64_t seed = 6 * GetParam() + i;
    emulator::World world(drawn_world(seed), [](Time now, const Settings& settings,
                                                const emulator::TrueBackendState& truth,
                                                std::vector<Action>& actions) {
      return emulator::make_policy("module", now, settings, truth, actions);
    });
    world.run();
    for (const auto& v : world.rules().violations()) {
      ADD_FAILURE() << "seed " << seed << ": " << name_of(v.rule) << " at " << to_s(v.at)
                    << " s: " << v.what << "\n"
                    << v.trace;
    }
    EXPECT_EQ(world.left_over(), 0u) << "seed " << seed;
  }
}
INSTANTIATE_TEST_SUITE_P(Drawn, Worlds, testing::Range<std::uint64_t>(0, 8));

}  // namespace
}  // namespace beechhill::test
