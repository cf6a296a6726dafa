// The four rules, checked from what is true in the emulated world, whatever decided it.
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

enum class Rule { kOneAnswer, kEffects, kDrains, kCold };
inline constexpr std::array kRules{Rule::kOneAnswer, Rule::kEffects, Rule::kDrains, Rule::kCold};
const char* name_of(Rule rule);

struct Violation {
  Rule rule = Rule::kOneAnswer;
  Time at{0};
  std::uint64_t request = 0;  // 0: a node's, not a request's
  std::string what, trace;
};

// Requests are named by the world's call ids; nodes by tier and number.
class RuleChecker {
 public:
  // `slack`: how much later than it happened something may come into the books; zero where one
  // clock rules all.
  explicit RuleChecker(const Scenario& scenario, Duration slack = Duration{0})
      : s_(scenario), slack_(slack) {}

  void taken(Time now, std::uint64_t call, ClassId c, Time deadline);
  // A final answer of any kind reaches the client. `refusal`: it tells that trying again is
  // harmless.
  void answered(Time now, std::uint64_t call, bool refusal);
  // The proxy sends an attempt. `told`: since when its list says that the node drains or is gone.
  // `held`: for how long it may have stood on its way until this was seen.
  void sent(Time now, std::uint64_t call, std::uint32_t tier, EndpointId node,
            const Endpoint& entry, std::optional<Time> told, Duration held = Duration{0});
  void ended(Time now, std::uint64_t call, std::uint32_t attempt, Result result);
  // Its client waits no longer, through no fault of the proxy's: no answer is owed.
  void excused(Time now, std::uint64_t call);
  // The proxy died, or all is done: nothing more is owed for it.
  void forget(std::uint64_t call);
  // Its deadline and the grace after it are over.
  void overdue(Time now, std::uint64_t call);
  // `work` core-seconds reach a node that has `capacity` core-seconds a second now; `aware`: from a
  // proxy that was told of its start. True: the node is pushed over.
  bool pressed(Time now, std::uint32_t tier, EndpointId node, double work, double capacity,
               double usual_work, bool aware);
  void node_warm(std::uint32_t tier, EndpointId node);

  std::uint64_t count(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  std::uint64_t all() const;
  const std::vector<Violation>& violations() const { return kept_; }  // the first few
  std::size_t open() const { return calls_.size(); }

 private:
  struct Attempt {
    EndpointId node = 0;
    std::uint32_t zone = 0, cell = 0;
    Time sent{0};
    std::optional<Result> result;
  };
  struct Call {
    ClassId c = 0;
    Time deadline{0};
    bool answered = false, excused = false;
    Time answered_at{0};
    std::vector<Attempt> attempts;
    std::string trace;
  };
  struct Press {
    Time at{0};
    double work = 0;
    bool aware = false;
  };
  void broken(Time now, Rule rule, std::uint64_t call, std::string what, const std::string& trace);
  static bool may_have_run(const Attempt& a);
  void note(Call& c, Time now, const std::string& what);

  const Scenario& s_;
  const Duration slack_;
  std::unordered_map<std::uint64_t, Call> calls_;  // looked up only
  std::map<std::uint64_t, std::deque<Press>> pressure_;
  std::array<std::uint64_t, 4> counts_{};
  std::vector<Violation> kept_;
};

}  // namespace beechhill::emulator
