/// The four rules that a balancer must keep, checked from what is true in the emulated deployment,
/// whatever decided it.
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

/// kOneAnswer: one final answer, by the deadline and its grace. kEffects: nothing is run twice that
/// must not be. kDrains: nothing is sent to a backend after it has drained. kCold: no cold backend
/// is overloaded until it collapses.
enum class Rule { kOneAnswer, kEffects, kDrains, kCold };
inline constexpr std::array kRules{Rule::kOneAnswer, Rule::kEffects, Rule::kDrains, Rule::kCold};
const char* name_of(Rule rule);

struct Violation {
  Rule rule = Rule::kOneAnswer;
  Time at{0};
  /// 0: a backend's, not a request's.
  std::uint64_t request = 0;
  std::string what;
  /// What happened to the request, a line an event.
  std::string trace;
};

/// Requests are named by their ids at the proxies; backends by tier and number.
class RuleChecker {
 public:
  /// `slack`: how much later than it happened something may be reported; zero where one clock
  /// rules all. `scenario` must outlive it.
  explicit RuleChecker(const Scenario& scenario, Duration slack = Duration{0})
      : scenario_(scenario), slack_(slack) {}

  /// A proxy takes a request.
  void taken(Time now, std::uint64_t call, ClassId class_id, Time deadline);
  /// A final answer of any kind reaches the client. `refusal`: it says that a retry is harmless.
  void answered(Time now, std::uint64_t call, bool refusal);
  /// The proxy sends an attempt. `told`: since when its endpoint list says that the backend drains
  /// or is gone. `held`: for how long it may have been on its way until this was seen.
  void sent(Time now, std::uint64_t call, std::uint32_t tier, EndpointId node,
            const Endpoint& entry, std::optional<Time> told, Duration held = Duration{0});
  void ended(Time now, std::uint64_t call, std::uint32_t attempt, Result result);
  /// Its client waits no longer, through no fault of the proxy's: no answer is owed.
  void excused(Time now, std::uint64_t call);
  /// The proxy died, or all is done: nothing more is owed for it.
  void forget(std::uint64_t call);
  /// Its deadline and the grace after it are over.
  void overdue(Time now, std::uint64_t call);
  /// `work` core-seconds reach a cold backend that has `capacity` core-seconds a second now;
  /// `aware`: from a proxy that knew of its start. True: the backend collapses.
  bool pressed(Time now, std::uint32_t tier, EndpointId node, double work, double capacity,
               double usual_work, bool aware);
  /// The backend is warm, or gone.
  void node_warm(std::uint32_t tier, EndpointId node);

  std::uint64_t count(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  std::uint64_t all() const;
  /// The first few.
  const std::vector<Violation>& violations() const { return violations_; }
  /// Requests for which something may still be owed.
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
  /// Work that reached a cold backend.
  struct ColdWork {
    Time at{0};
    double work_s = 0;
    bool aware = false;
  };

  RequestRecord* find(std::uint64_t id);
  void check_drain(Time now, std::uint64_t id, EndpointId endpoint, std::optional<Time> told);
  void check_repeat(Time now, std::uint64_t id, const Endpoint& endpoint);
  void check_deduplication(Time now, std::uint64_t id, const Attempt& first,
                           const Endpoint& endpoint);
  void report(Time now, Rule rule, std::uint64_t request, std::string what);
  static bool may_have_run(const Attempt& attempt);
  static void add_to_trace(RequestRecord& request, Time now, const std::string& what);

  const Scenario& scenario_;
  const Duration slack_;
  // Looked up only, never walked: the order of a hash table is no part of a run.
  std::unordered_map<std::uint64_t, RequestRecord> requests_;
  // By tier and backend, over the last collapse delay.
  std::map<std::uint64_t, std::deque<ColdWork>> cold_work_;
  std::array<std::uint64_t, kRules.size()> counts_{};
  std::vector<Violation> violations_;
};

}  // namespace beechhill::emulator
