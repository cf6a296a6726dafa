// Connects the parts of the decision module: passes events to the policies (policy/) and to the
// state that they use (state/), and returns their decisions as actions. docs/design.md gives the
// reasons for the design.
#include "beechhill/balancer.h"

#include <algorithm>
#include <utility>

#include "balancer/discovery_polling.h"
#include "balancer/policy/admission.h"
#include "balancer/policy/endpoint_selector.h"
#include "balancer/policy/health_checker.h"

namespace beechhill {
namespace {

enum TimerKind : TimerToken { kQueueTimer, kHealthCheckTimer, kDiscoveryTimer };

// Divisor of the shortest latency objective that gives the interval between queue checks while
// requests wait. The interval is at least one time step.
constexpr int kQueueTimerDivisor = 40;

Settings validated(Settings settings) {
  validate(settings);
  return settings;
}

}  // namespace

class Balancer::Impl {
 public:
  Impl(Time now, Settings settings, std::vector<Action>& actions)
      : settings_(validated(std::move(settings))), now_(now), actions_(&actions) {
    if (settings_.discovery_polling_required) {
      set_timer(kDiscoveryTimer, discovery_.initial_delay(random_.uniform()));
    }
    if (settings_.load_reports_require_health_checks && settings_.health_checks_allowed) {
      set_timer(kHealthCheckTimer, from_seconds(random_.uniform()));
    }
  }

  void handle(Time now, const Event& event, std::vector<Action>& actions) {
    actions_ = &actions;
    advance(now);
    std::visit([this](const auto& typed) { on(typed); }, event);
    mark_silent_requests();
    reject_expired();
    dispatch();
    schedule_queue_timer();
  }

  EndpointCounts endpoint_counts(Time now) const {
    EndpointCounts counts;
    for (const EndpointRecord& record : endpoints_.records()) {
      if (record.listed) {
        ++counts.listed;
        counts.unavailable += !record.up() || now < record.overloaded_until ? 1 : 0;
      }
    }
    return counts;
  }

  EndpointStats endpoint_stats(EndpointId id) const {
    return endpoints_.contains(id) ? endpoints_[id].stats : EndpointStats{};
  }

 private:
  // ---- Time and timers

  void advance(Time now) {
    const double elapsed_s = seconds(now - now_);
    queues_.advance(elapsed_s, limit_.value());
    limit_.advance(elapsed_s);
    in_flight_.advance(elapsed_s, latencies_.typical_s());
    now_ = now;
  }

  void set_timer(TimerKind kind, Duration delay) {
    actions_->push_back(SetTimer{kind, now_ + delay});
  }

  // Sets a timer while requests wait, so that they are sent or rejected before their clients
  // disconnect, even if no other event arrives.
  void schedule_queue_timer() {
    const Duration interval = std::max(
        settings_.time_step, from_seconds(latencies_.shortest_objective_s() / kQueueTimerDivisor));
    const Time at = std::min(now_ + interval, queues_.next_expiry());
    const bool is_set = queue_timer_at_ > now_ && queue_timer_at_ <= at;
    if (queues_.waiting_count() == 0 || is_set) {
      return;
    }
    queue_timer_at_ = at;
    set_timer(kQueueTimer, at - now_);
  }

  void on(const Timer& timer) {
    if (timer.token == kDiscoveryTimer) {
      actions_->push_back(WatchEndpoints{});
    }
    if (timer.token == kHealthCheckTimer) {
      check_health();
    }
  }

  void check_health() {
    if (const auto endpoint = health_checker_.select(now_)) {
      actions_->push_back(HealthCheck{*endpoint});
    }
    set_timer(kHealthCheckTimer, health_checker_.interval(random_.uniform()));
  }

  // ---- Requests

  void on(const Request& request) {
    RequestState state;
    state.request = request;
    admission_.classify(state, now_);
    RequestState& stored = requests_[request.id] = std::move(state);
    if (endpoints_.all_excluded() || !admission_.enqueue(stored, now_)) {
      answer_without_success(stored);
    }
    erase_if_done(request.id);
  }

  void dispatch() {
    while (RequestState* state = admission_.next(requests_)) {
      const auto endpoint = selector_.select(*state, now_);
      if (!endpoint) {
        return;
      }
      queues_.dequeue(*state);
      start_attempt(*state, *endpoint);
    }
  }

  // Sets no timeout before the request's deadline: an endpoint may continue an abandoned attempt,
  // which the concurrency limit would then not count.
  void start_attempt(RequestState& state, EndpointId id) {
    EndpointRecord& record = endpoints_[id];
    selector_.record_attempt(record, state.request.class_id, random_.uniform(), now_);
    retries_.add_budget();
    health_checker_.add_budget();
    queues_.start_attempt(state, latencies_.shortest_objective_s());
    in_flight_.running += state.width;
    state.attempts.push_back({id, record.incarnation, record.entry.zone, record.entry.cell, now_});
    state.in_flight = true;
    silence_checks_.add(limit_.silent_at(state), state.request.id);
    actions_->push_back(StartAttempt{state.request.id, id});
  }

  void mark_silent_requests() {
    while (const auto id = silence_checks_.pop_due(now_)) {
      const auto found = requests_.find(*id);
      if (found == requests_.end() || !found->second.in_flight || found->second.silent) {
        continue;
      }
      RequestState& state = found->second;
      if (now_ < limit_.silent_at(state)) {
        silence_checks_.add(limit_.silent_at(state), *id);
        continue;
      }
      queues_.mark_silent(state);
      in_flight_.silent += state.width;
      state.silent = true;
    }
  }

  void reject_expired() {
    for (const RequestId id : queues_.expired(now_, requests_)) {
      RequestState& state = requests_.at(id);
      queues_.withdraw(state);
      answer_without_success(state);
      erase_if_done(id);
    }
  }

  // ---- Outcomes

  void on(const FirstByte& first_byte) {
    if (const auto found = requests_.find(first_byte.id); found != requests_.end()) {
      found->second.streaming = true;
    }
  }

  void on(const Outcome& outcome) {
    const auto found = requests_.find(outcome.id);
    if (found == requests_.end() || !found->second.in_flight ||
        outcome.attempt != found->second.last_attempt()) {
      return;
    }
    RequestState& state = found->second;
    end_attempt(state, outcome);
    if (!RetryPolicy::never_ran(outcome.result) && !state.maybe_ran_at) {
      state.maybe_ran_at = outcome.attempt;
    }
    if (outcome.is_final || state.answered || outcome.result == Result::kOk) {
      mark_answered(state);
    } else {
      retry_or_answer(state, outcome);
    }
    queues_.release(state);
    erase_if_done(outcome.id);
  }

  void end_attempt(RequestState& state, const Outcome& outcome) {
    const Attempt& attempt = state.attempts.back();
    // The duration of a streamed body depends on the client, so the class's average is used.
    const double latency_s = state.request.streams_body
                                 ? latencies_.average_s(state.request.class_id)
                                 : seconds(now_ - attempt.started_at);
    in_flight_.running -= state.width;
    in_flight_.silent -= state.silent ? state.width : 0;
    queues_.end_attempt(state, latencies_.shortest_objective_s(), latency_s);
    state.in_flight = false;
    state.silent = false;
    EndpointRecord& record = endpoints_[attempt.endpoint];
    // Outcomes of a former incarnation do not describe the current one.
    if (attempt.incarnation == record.incarnation) {
      --record.in_flight;
      record.waiting_since = now_;
      statistics_.record_report(record, outcome.report, now_);
      update_estimates(record, state, outcome.result, latency_s);
    }
  }

  void update_estimates(EndpointRecord& record, const RequestState& state, Result result,
                        double latency_s) {
    const ClassId class_id = state.request.class_id;
    statistics_.record_outcome(record, class_id, result, latency_s, latencies_.average_s(class_id),
                               now_);
    if (result == Result::kOk) {
      latencies_.add(class_id, latency_s);
    }
    limit_.adjust(state, result, latency_s, outliers_.latency_penalty(record),
                  static_cast<double>(endpoints_.positive_up_count()));
    if (result == Result::kOverloaded) {
      record.overloaded_until = now_ + retries_.overload_backoff();
    }
  }

  // Acts on the retry policy's decision after an attempt without success.
  void retry_or_answer(RequestState& state, const Outcome& outcome) {
    // Where the request may have run is unknown, so repeats are not deduplicated for certain.
    if (outcome.address_reassigned && !retries_.safe_anywhere(state)) {
      return answer_without_success(state);
    }
    const RetryDecision decision = retries_.decide(state, outcome, now_);
    if (decision == RetryDecision::kRequeue) {
      return queues_.push_front(state);
    }
    if (decision == RetryDecision::kRetryNow && limit_.fits(state.width)) {
      if (const auto endpoint = selector_.select(state, now_)) {
        retries_.spend_budget();
        queues_.keep_present(state);
        return start_attempt(state, *endpoint);
      }
    }
    answer_without_success(state);
  }

  // ---- Final answers

  void answer_without_success(RequestState& state) {
    actions_->push_back(retries_.final_answer(state));
    mark_answered(state);
  }

  // Marks the request as answered and cancels its attempt in flight where that is allowed.
  void mark_answered(RequestState& state) {
    state.answered = true;
    if (state.in_flight && settings_.cancellation_allowed && !state.streaming) {
      actions_->push_back(Cancel{state.request.id, state.last_attempt()});
    }
  }

  void erase_if_done(RequestId id) {
    const auto found = requests_.find(id);
    if (found != requests_.end() && found->second.answered && !found->second.in_flight) {
      requests_.erase(found);
    }
  }

  void on(const ClientDisconnected& disconnected) {
    const auto found = requests_.find(disconnected.id);
    if (found == requests_.end() || found->second.answered) {
      return;
    }
    if (found->second.queued) {
      queues_.withdraw(found->second);
    }
    mark_answered(found->second);
    erase_if_done(disconnected.id);
  }

  // ---- Endpoints

  void on(const EndpointUpdate& update) {
    if (update.kind == UpdateKind::kFailed) {
      return set_timer(kDiscoveryTimer, discovery_.delay_after_failure(random_.uniform()));
    }
    if (update.kind != UpdateKind::kCached) {
      discovery_.record_success();
    }
    const bool is_delta = update.kind == UpdateKind::kDelta;
    statistics_.count_changes(is_delta ? update.endpoints.size() : endpoints_.size() + 1);
    for (const Endpoint& entry : update.endpoints) {
      statistics_.add_instance_type(entry.instance_type);
    }
    endpoints_.apply(update, now_);
  }

  void on(const EndpointExclusion& exclusion) {
    endpoints_.apply(exclusion, now_);
    if (endpoints_.all_excluded()) {
      queues_.expire_all(now_, requests_);
    }
  }

  void on(const HealthCheckResult& check) {
    if (check.result == Result::kOk && endpoints_.contains(check.endpoint)) {
      statistics_.record_report(endpoints_[check.endpoint], check.report, now_);
    }
  }

  void on(const RestoredStats& restored) { endpoints_.restore(restored, now_); }

  const Settings settings_;
  Time now_;
  std::vector<Action>* actions_;  // receives the actions of the event being handled
  Time queue_timer_at_{0};

  RandomSource random_{settings_.seed};
  RequestTable requests_;
  FairQueues queues_;
  InFlightCounts in_flight_;
  SilenceSchedule silence_checks_;
  LatencyTracker latencies_{settings_.classes};
  EndpointTable endpoints_{settings_.classes.size(), random_};
  FleetStatistics statistics_{settings_, latencies_, endpoints_, now_};

  ConcurrencyLimit limit_{settings_, latencies_, in_flight_};
  Admission admission_{settings_, latencies_, limit_, queues_, now_};
  OutlierDetector outliers_{settings_, statistics_};
  SlowStart slow_start_{settings_};
  RetryPolicy retries_{settings_, latencies_, random_};
  EndpointSelector selector_{{settings_, latencies_, in_flight_, limit_, outliers_, slow_start_,
                              retries_, statistics_, endpoints_}};
  HealthChecker health_checker_{settings_, statistics_, endpoints_};
  DiscoveryPolling discovery_{settings_};
};

Balancer::Balancer(Time now, Settings settings, std::vector<Action>& actions)
    : impl_(std::make_unique<Impl>(now, std::move(settings), actions)) {
}
Balancer::~Balancer() = default;

void Balancer::handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

Balancer::EndpointCounts Balancer::endpoint_counts(Time now) const {
  return impl_->endpoint_counts(now);
}

EndpointStats Balancer::endpoint_stats(EndpointId id) const {
  return impl_->endpoint_stats(id);
}

}  // namespace beechhill
