// Drives one Balancer with scripted events under a simulated clock and keeps what it did.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::test {

using std::chrono::milliseconds;

inline Settings basic_settings() {
  Settings s;
  s.seed = 7;
  ClassSettings repeatable, keyed, once;
  repeatable.idempotency = Idempotency::kIdempotent;
  keyed.idempotency = Idempotency::kIdempotencyKey;
  keyed.deduplication_scope = DeduplicationScope::kCell;
  keyed.deduplication_window = milliseconds(3000);
  once.idempotency = Idempotency::kNonIdempotent;
  for (auto* c : {&repeatable, &keyed, &once}) {
    c->latency_objective = milliseconds(1000);
    c->deadline = milliseconds(4000);
    s.classes.push_back(*c);
  }
  s.slow_start_window = milliseconds(10000);
  s.slow_start_initial_weight = 0.2;
  s.overload_collapse_ratio = 3;
  s.overload_collapse_delay = milliseconds(1000);
  s.cancellation_allowed = true;
  s.hedging_allowed = true;
  s.max_attempts = 3;
  s.discovery_poll_interval = milliseconds(10000);
  return s;
}
inline constexpr ClassId kRepeatable = 0, kKeyed = 1, kOnce = 2;

class Driver {
 public:
  explicit Driver(Settings settings = basic_settings()) : balancer_(now, std::move(settings), all) {
    note(all);
  }

  // Returns what the module did on this event.
  std::vector<Action> give(const Event& event) {
    std::vector<Action> out;
    balancer_.handle(now, event, out);
    all.insert(all.end(), out.begin(), out.end());
    note(out);
    if (seen) {
      seen(out);
    }
    return out;
  }

  void note(const std::vector<Action>& out) {
    for (const auto& a : out) {
      if (const auto* send = std::get_if<StartAttempt>(&a)) {
        sends.push_back(*send);
      }
      if (const auto* timer = std::get_if<SetTimer>(&a)) {
        timers_.emplace(timer->at, timer->token);
      }
      if (const auto* refuse = std::get_if<Reject>(&a)) {
        answers.insert(refuse->id);
      }
      if (const auto* fail = std::get_if<Fail>(&a)) {
        answers.insert(fail->id);
      }
    }
  }

  void servers(std::uint32_t n, UpdateKind kind = UpdateKind::kSnapshot) {
    EndpointUpdate d{kind, {}};
    for (EndpointId i = 0; i < n; ++i) {
      d.endpoints.push_back({i, EndpointStatus::kUp, 0, i / 2, {}});
    }
    give(d);
  }
  template <typename KindOf>
  void servers_of_kinds(std::uint32_t n, KindOf kind_of) {
    EndpointUpdate d{UpdateKind::kSnapshot, {}};
    for (EndpointId i = 0; i < n; ++i) {
      const auto kind = static_cast<std::uint32_t>(kind_of(i));
      d.endpoints.push_back({i, EndpointStatus::kUp, 0, 0, {}, kind});
    }
    give(d);
  }
  void change(Endpoint entry) { give(EndpointUpdate{UpdateKind::kDelta, {entry}}); }

  std::vector<Action> request(RequestId id, ClassId class_id = kRepeatable,
                              TenantId tenant = kNoTenant) {
    return give(Request{id, class_id, tenant, now + milliseconds(4000), {}});
  }
  std::vector<Action> outcome(RequestId id, std::uint32_t attempt, Result result,
                              bool final = false) {
    return give(Outcome{id, attempt, result, final || result == Result::kOk, {}});
  }

  // Lets time pass, firing timers as they fall due.
  void pass(Duration d) {
    const Time end = now + d;
    while (!timers_.empty() && timers_.begin()->first <= end) {
      const auto [at, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = std::max(now, at);
      give(Timer{token});
    }
    now = end;
  }

  std::function<void(const std::vector<Action>&)> seen;  // after each event
  Time now{1'000'000};
  std::vector<Action> all;
  std::vector<StartAttempt> sends;
  std::multiset<RequestId> answers;  // refused or failed

 private:
  std::multimap<Time, TimerToken> timers_;
  Balancer balancer_;
};

template <typename A>
std::size_t count(const std::vector<Action>& actions) {
  std::size_t n = 0;
  for (const auto& a : actions) {
    n += std::holds_alternative<A>(a);
  }
  return n;
}

}  // namespace beechhill::test
