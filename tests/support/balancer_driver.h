// Drives one Balancer with scripted events under a simulated clock and records its actions.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::test {

using std::chrono::milliseconds;

// Indices of the classes of basic_settings().
inline constexpr ClassId kIdempotentClass = 0;
inline constexpr ClassId kKeyedClass = 1;
inline constexpr ClassId kNonIdempotentClass = 2;

/// Returns settings with one class of each idempotency. Each class has a latency objective of 1 s
/// and a deadline of 4 s.
inline Settings basic_settings() {
  ClassSettings idempotent;
  idempotent.idempotency = Idempotency::kIdempotent;
  ClassSettings keyed;
  keyed.idempotency = Idempotency::kIdempotencyKey;
  keyed.deduplication_scope = DeduplicationScope::kCell;
  keyed.deduplication_window = milliseconds(3000);
  ClassSettings non_idempotent;
  non_idempotent.idempotency = Idempotency::kNonIdempotent;

  Settings settings;
  settings.seed = 7;
  settings.classes = {idempotent, keyed, non_idempotent};
  for (ClassSettings& class_settings : settings.classes) {
    class_settings.latency_objective = milliseconds(1000);
    class_settings.deadline = milliseconds(4000);
  }
  settings.slow_start_window = milliseconds(10000);
  settings.slow_start_initial_weight = 0.2;
  settings.overload_collapse_ratio = 3;
  settings.overload_collapse_delay = milliseconds(1000);
  settings.cancellation_allowed = true;
  settings.hedging_allowed = true;
  settings.max_attempts = 3;
  settings.discovery_poll_interval = milliseconds(10000);
  return settings;
}

class Driver {
 public:
  explicit Driver(Settings settings = basic_settings())
      : balancer_(now, std::move(settings), actions) {
    record(actions);
  }

  /// Passes the event to the balancer and returns its actions.
  std::vector<Action> handle(const Event& event) {
    std::vector<Action> event_actions;
    balancer_.handle(now, event, event_actions);
    actions.insert(actions.end(), event_actions.begin(), event_actions.end());
    record(event_actions);
    if (on_actions) {
      on_actions(event_actions);
    }
    return event_actions;
  }

  /// Lists endpoints 0 to count - 1 in one zone, two endpoints per cell.
  void list_endpoints(std::uint32_t count, UpdateKind kind = UpdateKind::kSnapshot) {
    EndpointUpdate update{kind, {}};
    for (EndpointId id = 0; id < count; ++id) {
      update.endpoints.push_back({id, EndpointStatus::kUp, 0, id / 2, {}});
    }
    handle(update);
  }
  /// Lists endpoints 0 to count - 1 in one cell; `type_of` maps an id to its instance type.
  template <typename TypeOf>
  void list_endpoints_of_types(std::uint32_t count, TypeOf type_of) {
    EndpointUpdate update{UpdateKind::kSnapshot, {}};
    for (EndpointId id = 0; id < count; ++id) {
      const auto type = static_cast<std::uint32_t>(type_of(id));
      update.endpoints.push_back({id, EndpointStatus::kUp, 0, 0, {}, type});
    }
    handle(update);
  }
  void update_endpoint(Endpoint entry) { handle(EndpointUpdate{UpdateKind::kDelta, {entry}}); }

  std::vector<Action> request(RequestId id, ClassId class_id = kIdempotentClass,
                              TenantId tenant = kNoTenant) {
    return handle(Request{id, class_id, tenant, now + milliseconds(4000), {}});
  }
  std::vector<Action> outcome(RequestId id, std::uint32_t attempt, Result result,
                              bool is_final = false) {
    return handle(Outcome{id, attempt, result, is_final || result == Result::kOk, {}});
  }

  /// Advances the clock by `duration` and passes the events of all timers that expire in this time
  /// to the balancer.
  void advance(Duration duration) {
    const Time end = now + duration;
    while (!timers_.empty() && timers_.begin()->first <= end) {
      const auto [at, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = std::max(now, at);
      handle(Timer{token});
    }
    now = end;
  }

  std::function<void(const std::vector<Action>&)> on_actions;  // called after each event
  Time now{1'000'000};
  std::vector<Action> actions;             // actions of all events so far
  std::vector<StartAttempt> attempts;      // attempts started so far, in order
  std::multiset<RequestId> final_answers;  // requests that were rejected or failed

 private:
  void record(const std::vector<Action>& event_actions) {
    for (const Action& action : event_actions) {
      if (const auto* attempt = std::get_if<StartAttempt>(&action)) {
        attempts.push_back(*attempt);
      }
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        timers_.emplace(timer->at, timer->token);
      }
      if (const auto* rejection = std::get_if<Reject>(&action)) {
        final_answers.insert(rejection->id);
      }
      if (const auto* failure = std::get_if<Fail>(&action)) {
        final_answers.insert(failure->id);
      }
    }
  }

  std::multimap<Time, TimerToken> timers_;
  Balancer balancer_;
};

/// Returns how many of the actions are of type A.
template <typename A>
std::size_t count(const std::vector<Action>& actions) {
  std::size_t matching = 0;
  for (const Action& action : actions) {
    matching += std::holds_alternative<A>(action) ? 1 : 0;
  }
  return matching;
}

}  // namespace beechhill::test
