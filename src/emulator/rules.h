/// Checks four rules that any balancer must keep, from the true state of the emulated deployment
/// and independently of the policy.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/scenario.h"

namespace beechhill::emulator {

/// kOneAnswer: each request gets exactly one final answer, by its deadline plus the grace period.
/// kEffects: a request that must not be executed twice is not repeated. kDrains: nothing is sent to
/// a backend after its drain grace period. kCold: no cold backend receives so much work that it
/// collapses.
enum class Rule { kOneAnswer, kEffects, kDrains, kCold };
inline constexpr std::array kRules{Rule::kOneAnswer, Rule::kEffects, Rule::kDrains, Rule::kCold};
const char* name_of(Rule rule);

struct Violation {
  Rule rule = Rule::kOneAnswer;
  Time at{0};
  /// Id of the request; 0 if a backend violates the rule and no single request does.
  std::uint64_t request = 0;
  std::string what;
  /// The events of the request, one per line.
  std::string trace;
};

/// Checks the rules during a run. Requests are identified by their ids at the proxies, backends by
/// tier and index.
class RuleChecker {
 public:
  /// `slack` is the maximum delay between an event and its report; zero if all events are timed by
  /// one clock. `scenario` must outlive this object.
  explicit RuleChecker(const Scenario& scenario, Duration slack = Duration{0})
      : scenario_(scenario), slack_(slack) {}

  /// Records that a proxy has accepted a request.
  void taken(Time now, std::uint64_t request_id, ClassId class_id, Time deadline);
  /// Records that a final answer has reached the client. `rejection` means that the answer declares
  /// a retry safe.
  void answered(Time now, std::uint64_t request_id, bool rejection);
  /// Records that a proxy has sent an attempt. `not_up_since` is the time since which the proxy's
  /// endpoint list has had the backend as draining or removed. `transit` is the maximum time
  /// between the sending and this call.
  void sent(Time now, std::uint64_t request_id, std::uint32_t tier, EndpointId node,
            const Endpoint& entry, std::optional<Time> not_up_since,
            Duration transit = Duration{0});
  void ended(Time now, std::uint64_t request_id, std::uint32_t attempt, Result result);
  /// Records that the client has stopped waiting for a reason outside the proxy's control, so that
  /// no answer is required.
  void excused(Time now, std::uint64_t request_id);
  /// Removes a request that is complete or whose proxy has died. No further answer is required.
  void forget(std::uint64_t request_id);
  /// Reports a violation if the request has no answer. Must not be called before the request's
  /// deadline and the grace period have passed.
  void overdue(Time now, std::uint64_t request_id);
  /// Records that `work` core-seconds arrive at a cold backend with a present capacity of
  /// `capacity` core-seconds per second. `usual_work` is the mean work of a request at this
  /// backend. `proxy_knows_start` tells whether the sending proxy knew that the backend had
  /// started. Returns true if the backend collapses.
  bool on_cold_work(Time now, std::uint32_t tier, EndpointId node, double work, double capacity,
                    double usual_work, bool proxy_knows_start);
  /// Discards the records of a backend that is warm or has stopped.
  void forget_cold_work(std::uint32_t tier, EndpointId node);

  std::uint64_t count(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  std::uint64_t all() const;
  /// Details of the first violations, up to a fixed number.
  const std::vector<Violation>& violations() const { return violations_; }
  /// Number of requests that may still require an answer.
  std::size_t open() const { return requests_.size(); }

 private:
  struct Attempt {
    EndpointId endpoint = 0;
    std::uint32_t zone = 0;
    std::uint32_t cell = 0;
    Time sent_at{0};
    std::optional<Result> result;
  };
  struct RequestRecord {
    ClassId class_id = 0;
    Time deadline{0};
    bool answered = false;
    bool excused = false;
    Time answered_at{0};
    std::vector<Attempt> attempts;
    std::string trace;
  };
  /// Work that has reached a cold backend with one attempt.
  struct ColdWork {
    Time at{0};
    double work_s = 0;
    bool proxy_knows_start = false;
  };

  RequestRecord* find(std::uint64_t id);
  void check_drain(Time now, std::uint64_t id, EndpointId endpoint,
                   std::optional<Time> not_up_since);
  void check_repeat(Time now, std::uint64_t id, const Endpoint& endpoint);
  void check_deduplication(Time now, std::uint64_t id, const Attempt& first,
                           const Endpoint& endpoint);
  void report(Time now, Rule rule, std::uint64_t request, std::string what);
  static bool may_have_run(const Attempt& attempt);
  static void add_to_trace(RequestRecord& request, Time now, const std::string& what);

  const Scenario& scenario_;
  const Duration slack_;
  // Only used for look-ups and never iterated, because the order of a hash table must not affect a
  // run.
  std::unordered_map<std::uint64_t, RequestRecord> requests_;
  // Work within the last collapse delay, by tier and backend.
  std::map<std::uint64_t, std::deque<ColdWork>> cold_work_;
  std::array<std::uint64_t, kRules.size()> counts_{};
  std::vector<Violation> violations_;
};

}  // namespace beechhill::emulator
