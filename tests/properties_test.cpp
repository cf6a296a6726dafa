// Property tests of the decision module: random deployments and events from fixed seeds, checked
// against emulator::RuleChecker and against invariants of the module's actions. A run that fails
// prints its seed, its last events and the history of the request.
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

constexpr std::size_t kLoggedEvents = 24;  // number of events printed for a run that fails
constexpr EndpointId kLastEndpoints = 5;   // number of endpoints in the last phase of a run

double log_uniform(Stream& random, double from, double to) {
  return from * std::pow(to / from, random.uniform());
}
template <typename T>
T one_of(Stream& random, std::initializer_list<T> values) {
  return *(values.begin() + static_cast<std::ptrdiff_t>(random.below(values.size())));
}

emulator::ClassSpec drawn_class(Stream& random, std::size_t number) {
  emulator::ClassSpec spec;
  spec.name = "c" + std::to_string(number);
  ClassSettings& settings = spec.settings;
  settings.idempotency = static_cast<Idempotency>(random.below(3));
  settings.deduplication_scope = static_cast<DeduplicationScope>(random.below(3));
  settings.latency_objective = to_duration(log_uniform(random, 0.02, 30));
  settings.deadline = settings.latency_objective +
                      to_duration(3 * random.uniform() * to_s(settings.latency_objective));
  settings.deduplication_window =
      to_duration(log_uniform(random, 0.2, 3) * to_s(settings.deadline));
  settings.priority_weight = one_of(random, {0.0, 1.0, 1.0, 3.0, 10.0});
  settings.late_priority_factor = one_of(random, {0.0, 0.0, 0.3});
  settings.latency_objective_work_factor = one_of(random, {0.0, 2.0});
  settings.streaming = random.below(4) == 0;
  spec.work_s = to_s(settings.latency_objective) / 10;
  return spec;
}

// Runs one balancer with the random deployment and events of a seed.
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

  // Runs all phases. Returns the actions as text.
  std::string run() {
    // In a quarter of the runs the balancer starts without endpoints.
    if (random_.below(4) > 0) {
      send_snapshot(UpdateKind::kCached);
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
    for (const auto& [id, open] : requests_) {
      if (!open.is_answered) {
        fail("request " + std::to_string(id) + " has no answer");
      }
      if (open.in_flight > 0) {
        fail("request " + std::to_string(id) + " has an attempt without an outcome");
      }
    }
    check_recovery();
    return actions_text_.str();
  }

 private:
  struct SimulatedEndpoint {
    Endpoint entry;
    bool excluded = false;
    // When the balancer was notified that it must not start attempts at the endpoint; absent while
    // it may.
    std::optional<Time> unavailable_since;
    double error_rate = 0;
    double silence_rate = 0;  // fraction of attempts without a response
    double overload_rate = 0;
    double relative_latency = 0.1;  // mean latency as a fraction of the class's objective
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
    Scenario scenario;
    const std::size_t classes = one_of<std::size_t>(random_, {1, 2, 3, 10});
    for (std::size_t i = 0; i < classes; ++i) {
      scenario.classes.push_back(drawn_class(random_, i));
    }
    scenario.drain_grace = Duration{-1};  // no attempt may start once a drain is announced
    scenario.answer_grace = Duration{0};
    scenario.hedging_allowed = random_.below(2) == 0;
    return scenario;
  }

  Settings draw_settings() {
    Settings settings;
    settings.seed = random_.bits();
    for (const auto& spec : deployment_.classes) {
      settings.classes.push_back(spec.settings);
    }
    const std::size_t tenants = one_of<std::size_t>(random_, {0, 1, 7, 40});
    for (std::size_t i = 0; i < tenants; ++i) {
      settings.tenants.push_back({1, one_of(random_, {0.0, 0.1, 5.0})});
    }
    settings.over_quota_priority_factor = random_.uniform();
    settings.tier_count = 1 + static_cast<std::uint32_t>(random_.below(3));
    settings.tier = static_cast<std::uint32_t>(random_.below(settings.tier_count));
    settings.replicas = one_of<std::uint32_t>(random_, {1, 2, 15, 100});
    settings.time_step = one_of(random_, {milliseconds(1), milliseconds(4)});
    settings.discovery_polling_required = random_.below(4) == 0;
    settings.discovery_poll_interval = milliseconds(10000);
    settings.slow_start_window = to_duration(one_of(random_, {0.0, 2.0, 30.0}));
    settings.slow_start_initial_weight = log_uniform(random_, 0.05, 1);
    settings.overload_collapse_ratio = 1 + 3 * random_.uniform();
    settings.overload_collapse_delay = milliseconds(3000);
    settings.load_reports_require_health_checks = random_.below(2) == 0;
    settings.health_checks_allowed = random_.below(2) == 0;
    settings.health_check_cost = one_of(random_, {0.0, 0.01, 1.0});
    settings.cancellation_allowed = random_.below(2) == 0;
    settings.hedging_allowed = deployment_.hedging_allowed;
    settings.max_attempts = 1 + static_cast<std::uint32_t>(random_.below(6));
    settings.max_retry_after = milliseconds(1500);
    settings.connect_timeout = one_of(random_, {milliseconds(5), milliseconds(100)});
    settings.cross_zone_cost = one_of(random_, {0.0, 1.0});
    settings_ = settings;
    return settings;
  }

  // Draws a new entry, as if the id were reused for another machine.
  void draw_entry(Endpoint& entry) {
    entry.zone = static_cast<std::uint32_t>(random_.below(3));
    entry.cell = static_cast<std::uint32_t>(random_.below(4));
    entry.instance_type = static_cast<std::uint32_t>(random_.below(3));
    entry.started_at.reset();
    if (random_.below(2) == 0) {
      entry.started_at = driver_.now - to_duration(20 * random_.uniform());
    }
    entry.status = EndpointStatus::kUp;
  }

  double draw_invalid_value() {
    using Limits = std::numeric_limits<double>;
    return one_of(random_, {Limits::quiet_NaN(), Limits::infinity(), -Limits::infinity(), -1.0, 0.0,
                            1e-300, 1e308, 1e5});
  }
  LoadReport draw_report() {
    if (omit_reports_) {
      return {};
    }
    if (random_.below(3) == 0) {
      return {};
    }
    if (random_.below(10) == 0) {
      return {draw_invalid_value(), draw_invalid_value()};
    }
    return {random_.uniform(), 100 * random_.uniform()};
  }

  // ---- Time

  void schedule(Time when, std::function<void()> task) { tasks_.emplace(when, std::move(task)); }

  void advance(Time until) {
    while (!tasks_.empty() && tasks_.begin()->first <= until) {
      const Time when = std::max(driver_.now, tasks_.begin()->first);
      const auto task = std::move(tasks_.begin()->second);
      tasks_.erase(tasks_.begin());
      driver_.advance(when - driver_.now);
      task();
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
    const Duration class_deadline = deployment_.classes[open.class_id].settings.deadline;
    open.arrived_at = driver_.now;
    open.deadline =
        driver_.now + to_duration(to_s(class_deadline) * one_of(random_, {1.0, 1.0, 0.4, 0.01}));
    open.streams_body = random_.below(20) == 0;
    Request request;
    request.id = id;
    request.class_id = open.class_id;
    if (!settings_.tenants.empty() && random_.below(10) > 0) {
      request.tenant = static_cast<TenantId>(random_.below(settings_.tenants.size()));
    }
    request.deadline = open.deadline;
    request.streams_body = open.streams_body;
    if (random_.below(2) == 0) {
      request.work_hint = to_duration(to_s(class_deadline) / 20);
    }
    rules_.taken(driver_.now, id, request.class_id, request.deadline);
    schedule(request.deadline, [this, id] { expire(id); });
    if (random_.below(12) == 0) {
      schedule(driver_.now + to_duration(to_s(class_deadline) * random_.uniform()),
               [this, id] { disconnect(id); });
    }
    handle(request, "request " + std::to_string(id) + " class " + std::to_string(request.class_id));
  }

  void disconnect(RequestId id) {
    OpenRequest& open = requests_.at(id);
    if (open.is_answered) {
      return;
    }
    open.is_answered = true;
    rules_.answered(driver_.now, id, false);  // no answer is required any more
    handle(ClientDisconnected{id}, "client of " + std::to_string(id) + " disconnects");
  }

  // Ends the attempts of a request at its deadline, and checks that it was answered by then.
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
    Attempt& ended = open.attempts[attempt];
    if (!ended.is_open) {
      return;
    }
    ended.is_open = false;
    ended.may_have_run = result != Result::kOverloaded && result != Result::kConnectFailed &&
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
    // A request that is neither in flight nor answered is queued for a retry. That is allowed only
    // if none of its attempts can have taken effect and its body was not consumed.
    const bool any_may_have_run = std::any_of(open.attempts.begin(), open.attempts.end(),
                                              [](auto& other) { return other.may_have_run; });
    if (!open.is_answered && open.in_flight == 0 && (any_may_have_run || open.body_consumed)) {
      fail("request " + std::to_string(id) + " is neither in flight nor answered");
    }
  }

  void carry_out(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      actions_text_ << action.index() << ' ';
      std::visit([this](const auto& typed) { act(typed); }, action);
    }
    check();
  }

  void act(const StartAttempt& action) {
    actions_text_ << action.id << '>' << action.endpoint << ' ';
    OpenRequest& open = requests_.at(action.id);
    const SimulatedEndpoint& endpoint = endpoints_.at(action.endpoint);
    rules_.sent(driver_.now, action.id, 0, action.endpoint, endpoint.entry,
                endpoint.unavailable_since);
    if (open.body_consumed) {
      fail("request " + std::to_string(action.id) + " sent again after its body was consumed");
    }
    if (open.attempts.size() >= settings_.max_attempts) {
      fail("too many attempts of " + std::to_string(action.id));
    }
    const auto attempt = static_cast<std::uint32_t>(open.attempts.size());
    open.attempts.push_back({action.endpoint});
    ++open.in_flight;
    const double chance = random_.uniform();
    Result result = Result::kOk;
    double latency = endpoint.relative_latency;
    if (chance < endpoint.silence_rate) {
      return;  // no response before the deadline
    }
    if (chance < endpoint.silence_rate + endpoint.error_rate) {
      result = one_of(random_, {Result::kError, Result::kReset});
      latency = 1e-3;
    } else if (chance < endpoint.silence_rate + endpoint.error_rate + endpoint.overload_rate) {
      result = Result::kOverloaded;
      latency = 1e-3;
    } else if (random_.below(25) == 0) {
      result = static_cast<Result>(random_.below(8));
    }
    const Duration after = to_duration(random_.exponential(
        latency * to_s(deployment_.classes[open.class_id].settings.latency_objective)));
    const RequestId id = action.id;
    if (driver_.now + after < open.deadline) {
      schedule(driver_.now + after, [this, id, attempt, result] { outcome(id, attempt, result); });
    }
    if (deployment_.classes[open.class_id].settings.streaming && result == Result::kOk) {
      schedule(driver_.now + after / 2, [this, id, attempt] {
        OpenRequest& streaming = requests_.at(id);
        if (streaming.is_answered || !streaming.attempts[attempt].is_open) {
          return;
        }
        streaming.attempts[attempt].streamed = true;
        handle(FirstByte{id, attempt}, "first byte of " + std::to_string(id));
      });
    }
  }
  void act(const Cancel& action) {
    const Attempt& attempt = requests_.at(action.id).attempts.at(action.attempt);
    if (!attempt.is_open || attempt.streamed) {
      fail("cancel of an attempt that has ended or is streaming, of request " +
           std::to_string(action.id));
    }
    if (!settings_.cancellation_allowed) {
      fail("cancel although the settings allow no cancellation");
    }
    schedule(driver_.now,
             [this, action] { outcome(action.id, action.attempt, Result::kCancelled); });
  }
  void act(const Reject& action) { answered(action.id, true); }
  void act(const Fail& action) { answered(action.id, false); }
  void answered(RequestId id, bool rejected) {
    actions_text_ << id << ' ';
    rules_.answered(driver_.now, id, rejected);
    OpenRequest& open = requests_.at(id);
    open.is_answered = true;
    // The first tier must reject a queued request before half of the client's time has passed.
    const Duration half = (open.deadline - open.arrived_at) / 2 + settings_.time_step;
    if (open.attempts.empty() && settings_.tier == 0 && driver_.now > open.arrived_at + half) {
      fail("request " + std::to_string(id) + " was queued for too long");
    }
  }
  void act(const HealthCheck& action) {
    if (!settings_.health_checks_allowed) {
      fail("health check although the settings allow none");
    }
    if (endpoints_.at(action.endpoint).unavailable_since) {
      fail("health check of an endpoint that is unavailable");
    }
    const Result result = random_.below(5) == 0 ? Result::kTimeout : Result::kOk;
    schedule(driver_.now + milliseconds(5), [this, action, result] {
      handle(HealthCheckResult{action.endpoint, result, draw_report()}, "health check");
    });
  }
  void act(const SetTimer& action) {
    if (action.at < driver_.now) {
      fail("a timer is set for a time in the past");
    }
  }
  void act(const WatchEndpoints&) {
    if (random_.below(2) == 0) {
      schedule(driver_.now,
               [this] { handle(EndpointUpdate{UpdateKind::kFailed, {}}, "discovery fails"); });
    }
  }

  // ---- Endpoints and discovery

  void track_availability(SimulatedEndpoint& endpoint) {
    const bool available = endpoint.entry.status == EndpointStatus::kUp && !endpoint.excluded;
    if (available) {
      endpoint.unavailable_since.reset();
    }
    if (!available && !endpoint.unavailable_since) {
      endpoint.unavailable_since = driver_.now;
    }
  }

  SimulatedEndpoint& any_endpoint() { return endpoints_[random_.below(endpoints_.size())]; }

  void send_snapshot(UpdateKind kind) {
    EndpointUpdate update{kind, {}};
    const double listed_share = one_of(random_, {0.0, 0.3, 0.9, 1.0, 1.0});
    for (SimulatedEndpoint& endpoint : endpoints_) {
      endpoint.entry.status = EndpointStatus::kRemoved;
      if (random_.uniform() < listed_share) {
        endpoint.entry.status = one_of(random_, {EndpointStatus::kUp, EndpointStatus::kUp,
                                                 EndpointStatus::kUp, EndpointStatus::kDraining});
        update.endpoints.push_back(endpoint.entry);
      }
    }
    for (SimulatedEndpoint& endpoint : endpoints_) {
      track_availability(endpoint);
    }
    handle(update, "snapshot of " + std::to_string(update.endpoints.size()) + " endpoints");
  }

  void send_delta() {
    EndpointUpdate update{UpdateKind::kDelta, {}};
    const std::size_t change_count =
        1 + random_.below(std::max<std::size_t>(1, endpoints_.size() / 3));
    std::set<EndpointId> named;
    for (std::size_t i = 0; i < change_count; ++i) {
      SimulatedEndpoint& endpoint = any_endpoint();
      if (!named.insert(endpoint.entry.id).second) {
        continue;
      }
      switch (random_.below(4)) {
        case 0:
          endpoint.entry.status = EndpointStatus::kDraining;
          break;
        case 1:
          endpoint.entry.status = EndpointStatus::kRemoved;
          break;
        case 2:  // the id is reused for another machine, or the endpoint has moved
          draw_entry(endpoint.entry);
          break;
        default:
          endpoint.entry.status = EndpointStatus::kUp;
          endpoint.entry.started_at = driver_.now - to_duration(2 * random_.uniform());
      }
      track_availability(endpoint);
      update.endpoints.push_back(endpoint.entry);
      // Discovery may omit the zone and cell of a removed endpoint.
      if (endpoint.entry.status == EndpointStatus::kRemoved && random_.below(2) == 0) {
        update.endpoints.back().zone = update.endpoints.back().cell = 0;
      }
    }
    handle(update, "delta of " + std::to_string(update.endpoints.size()) + " endpoints");
  }

  void draw_disturbance() {
    switch (random_.below(6)) {
      case 0:
        return send_snapshot(UpdateKind::kSnapshot);
      case 1:
        return send_delta();
      case 2: {
        SimulatedEndpoint& endpoint = any_endpoint();
        endpoint.excluded = !endpoint.excluded;
        track_availability(endpoint);
        return handle(EndpointExclusion{endpoint.entry.id, endpoint.excluded},
                      (endpoint.excluded ? "exclusion of " : "end of exclusion of ") +
                          std::to_string(endpoint.entry.id));
      }
      case 3: {
        SimulatedEndpoint& endpoint = any_endpoint();
        endpoint.error_rate = one_of(random_, {0.0, 0.5}),
        endpoint.silence_rate = one_of(random_, {0.0, 0.0, 1.0});
        endpoint.overload_rate = one_of(random_, {0.0, 0.3}),
        endpoint.relative_latency = one_of(random_, {0.05, 0.2, 1.0});
        return;
      }
      case 4:
        for (SimulatedEndpoint& endpoint : endpoints_) {
          endpoint.relative_latency = one_of(random_, {0.1, 0.1, 2.0});
        }
        return;
      default:  // advances the clock without sending requests
        return advance(driver_.now + to_duration(one_of(random_, {0.001, 1.0, 100.0})));
    }
  }

  // ---- Recovery: with a few healthy endpoints, nothing in flight, and after a long pause

  std::size_t send_requests(int request_count, std::vector<RequestId>* ids = nullptr) {
    const std::size_t before = driver_.attempts.size();
    for (int i = 0; i < request_count; ++i) {
      const RequestId id = next_request_++;
      OpenRequest& open = requests_[id];
      const ClassSettings& class_settings = deployment_.classes[0].settings;
      open.arrived_at = driver_.now;
      open.deadline = driver_.now + class_settings.deadline;
      rules_.taken(driver_.now, id, 0, open.deadline);
      schedule(open.deadline, [this, id] { expire(id); });
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
      SimulatedEndpoint& endpoint = endpoints_[id];
      endpoint.entry.id = id;
      if (endpoint.excluded) {
        endpoint.excluded = false;
        handle(EndpointExclusion{id, false}, "end of exclusion");
      }
      endpoint.entry.status = id < kLastEndpoints ? EndpointStatus::kUp : EndpointStatus::kRemoved;
      endpoint.entry.started_at.reset();
      endpoint.error_rate = 0;
      endpoint.overload_rate = 0;
      endpoint.silence_rate = 1;
      track_availability(endpoint);
    }
    EndpointUpdate update{UpdateKind::kSnapshot, {}};
    for (EndpointId id = 0; id < kLastEndpoints; ++id) {
      endpoints_[id].entry.instance_type = 0;
      update.endpoints.push_back(endpoints_[id].entry);
    }
    handle(update, "the last snapshot");
    advance(driver_.now + std::chrono::hours(2));
    omit_reports_ = true;
    std::vector<RequestId> ids;
    if (send_requests(1, &ids) != 1) {
      fail("a lone request is queued with all endpoints idle");
    }
    if (!requests_.at(ids[0]).attempts.empty()) {
      outcome(ids[0], 0, Result::kOk);
    }
    // Invalid reports must have no effect after sixty valid ones: each of five equal endpoints gets
    // its share. If another zone has a cost and the balancer's zone has endpoints, those of other
    // zones may get no requests, as the balancer's zone is only half utilized.
    for (int i = 0; i < 60; ++i) {
      for (EndpointId id = 0; id < kLastEndpoints; ++id) {
        handle(HealthCheckResult{id, Result::kOk, {0.5, 10.0}}, "valid report");
      }
    }
    std::map<EndpointId, int> attempts_by_endpoint;
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
      const std::size_t before = driver_.attempts.size();
      ids.clear();
      send_requests(1, &ids);
      if (driver_.attempts.size() > before) {
        ++sent;
        ++attempts_by_endpoint[driver_.attempts.back().endpoint];
      }
      advance(driver_.now + deployment_.classes[0].settings.latency_objective / 20);
      if (!requests_.at(ids[0]).attempts.empty()) {
        outcome(ids[0], 0, Result::kOk);
      }
    }
    const auto in_balancer_zone = [&](EndpointId id) {
      return endpoints_[id].entry.zone == settings_.zone;
    };
    bool any_zone = true;
    for (EndpointId id = 0; id < kLastEndpoints; ++id) {
      any_zone &= settings_.cross_zone_cost == 0 || !in_balancer_zone(id);
    }
    for (EndpointId id = 0; id < kLastEndpoints; ++id) {
      // The bound allows for a low limit, which lets few requests through.
      if ((any_zone || in_balancer_zone(id)) && 20 * attempts_by_endpoint[id] < sent - 20) {
        fail("endpoint " + std::to_string(id) + " gets " +
             std::to_string(attempts_by_endpoint[id]) + " of " + std::to_string(sent) +
             " requests");
      }
    }
    // The limit must be finite after requests have timed out.
    send_requests(300);
    advance(driver_.now + 2 * emulator::longest_deadline(deployment_));
    if (send_requests(300) >= 300) {
      fail("all of 300 requests were sent after none of the earlier 300 was answered");
    }
    advance(driver_.now + 2 * emulator::longest_deadline(deployment_));
  }

  // ---- Failures

  void check() {
    if (rules_.all() == 0 || failed_) {
      return;
    }
    const auto& violation = rules_.violations().front();
    fail(std::string(name_of(violation.rule)) + ": " + violation.what + "\n" + violation.trace);
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
  std::ostringstream actions_text_;
  RequestId next_request_ = 1;
  bool omit_reports_ = false;
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

// ---- Whole simulated deployments, where endpoint capacity is known and Rule::kCold can be checked

Scenario drawn_world(std::uint64_t seed) {
  Stream random(seed, Actor::kFaults, 1);
  Scenario scenario;
  scenario.seed = seed;
  scenario.name = "drawn-" + std::to_string(seed);
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
  scenario.tiers.push_back(tier);
  scenario.proxies = one_of<std::uint32_t>(random, {1, 4, 30});
  scenario.load.utilisation = 0.3 + 0.6 * random.uniform();
  const std::size_t classes = one_of<std::size_t>(random, {1, 2, 4});
  // The work per request is chosen so that a minute has some ten thousand requests, and the window
  // that Rule::kCold examines contains more than a few.
  const double work = std::clamp(
      60.0 * tier.nodes * tier.cores / 12'000 * log_uniform(random, 0.7, 2), 0.002, 0.25);
  for (std::size_t i = 0; i < classes; ++i) {
    emulator::ClassSpec spec = drawn_class(random, i);
    spec.work_s = work * log_uniform(random, 0.7, 1.4);
    spec.settings.latency_objective = to_duration(spec.work_s * log_uniform(random, 6, 30));
    spec.settings.deadline =
        to_duration(to_s(spec.settings.latency_objective) * (1.5 + 2 * random.uniform()));
    spec.settings.deduplication_window = spec.settings.deadline;
    spec.settings.latency_objective_work_factor = 0;
    spec.settings.streaming = false;
    scenario.classes.push_back(spec);
  }
  scenario.length = std::chrono::seconds(60);
  for (int i = 0; i < 3; ++i) {
    using Kind = emulator::FaultKind;
    emulator::FaultSpec fault;
    fault.kind = one_of(random, {Kind::kSilent, Kind::kCrash, Kind::kCrash, Kind::kDrain,
                                 Kind::kReplace, Kind::kProxyCrash, Kind::kStaleList, Kind::kErrors,
                                 Kind::kSlow, Kind::kLateReports});
    fault.at = to_duration(5 + 10 * i + 5 * random.uniform());
    fault.length = to_duration(4 + 6 * random.uniform());
    fault.part = one_of(random, {0.1, 0.3, 0.5});
    fault.factor = fault.kind == Kind::kErrors ? 0.6 : 2;
    fault.delay = std::chrono::seconds(3);
    scenario.faults.push_back(fault);
  }
  return scenario;
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
    for (const auto& violation : world.rules().violations()) {
      ADD_FAILURE() << "seed " << seed << ": " << name_of(violation.rule) << " at "
                    << to_s(violation.at) << " s: " << violation.what << "\n"
                    << violation.trace;
    }
    EXPECT_EQ(world.requests_in_flight(), 0u) << "seed " << seed;
  }
}
INSTANTIATE_TEST_SUITE_P(Drawn, Worlds, testing::Range<std::uint64_t>(0, 8));

}  // namespace
}  // namespace beechhill::test
