// The books of a run on sockets: what clients, backends, discovery's agents and the fault plan saw,
// each by its own eyes. The rules are judged from them by the emulator's checker, never by a
// proxy's word.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "emulator/rules.h"

namespace beechhill::testbed {

using CallId = std::uint64_t;  // a client's request and its try

// How much later than it happened the lab may read of something, on a crowded machine. The verdict
// allows for it.
inline constexpr Duration kBookSlack{500'000};

class ObservationLog {
 public:
  // Borrows the scenario. `now` is the run's clock.
  ObservationLog(const emulator::Scenario& scenario, std::size_t proxies,
                 std::function<Time()> now);
  ObservationLog(const ObservationLog&) = delete;
  ObservationLog& operator=(const ObservationLog&) = delete;

  // "1-2f-3": seed, number and try in hex, as the load writes them; nothing where it is not of that
  // form.
  static std::optional<CallId> call_of(std::string_view trace);
  static CallId call_of(std::uint64_t number, std::uint32_t tries) {
    return number << kTryBits | tries;
  }
  static constexpr unsigned kTryBits = 6;

  // The clients'.
  void asked(CallId call, ClassId c, std::size_t proxy, Time deadline);
  void answered(CallId call, bool refusal);
  // Its connection ended without an answer, or the slack after its time is over too.
  void unanswered(CallId call);

  // The backends'. arrived() returns the attempt's number for ended().
  void connected(EndpointId node);
  std::uint32_t arrived(CallId call, const Endpoint& node);
  void ended(CallId call, std::uint32_t attempt, Result result);
  // The work of a request reaches a cold backend that started at `born`.
  void pressed(CallId call, EndpointId node, double work, double capacity, Time born);
  void warm(EndpointId node) { rules_.node_warm(0, node); }

  // The plan's: the link of the two is cut, and stands again. What comes over it then may have been
  // sent before.
  void cut(std::size_t proxy, EndpointId node, bool on);

  // Staff's: a backend is out for work, and is back. Whatever reaches it meanwhile is counted,
  // however it came there.
  void out(EndpointId node, bool on) { on ? void(out_.insert(node)) : void(out_.erase(node)); }
  std::uint64_t sent_to_out() const { return sent_to_out_; }

  // The agents': what was written to a proxy. `whole`: a list, in which whatever it lacks is gone.
  void told(std::size_t proxy, const std::vector<Endpoint>& rows, bool whole);
  void asked_whole(std::size_t proxy) { ++lists_[proxy]; }

  // The plan's: from then on its silence is no fault of its own; after it, a new life knows
  // nothing.
  void disturbed(std::size_t proxy);
  void undisturbed(std::size_t proxy, bool new_life);

  const emulator::RuleChecker& rules() const { return rules_; }
  std::uint64_t excused() const { return excused_; }
  // Most in one second, and the node and second where: [backend][second].
  const std::vector<std::vector<std::uint32_t>>& connections() const { return connections_; }
  const std::vector<std::vector<std::uint32_t>>& arrivals() const { return arrivals_; }
  const std::vector<std::uint32_t>& lists() const {
    return lists_;
  }  // whole lists asked for, by proxy

 private:
  struct Open {
    std::size_t proxy = 0;
    Time asked{0};
    std::uint32_t attempts = 0;
  };
  struct Told {
    bool up = false;
    std::optional<Time> down_since;
    Time up_since{0};
  };
  struct Cut {
    Time from{0}, to{0};
  };
  struct Life {
    std::uint32_t troubles = 0;  // faults of the plan that are on
    Time last{Time::min()};      // when one ended
  };
  void tidy();
  static void count(std::vector<std::uint32_t>& by_second, Time now);

  const emulator::Scenario s_;
  std::function<Time()> now_;
  emulator::RuleChecker rules_;
  std::unordered_map<CallId, Open> open_;  // looked up only
  std::deque<std::pair<Time, CallId>> by_age_;
  std::vector<std::vector<Told>> told_;  // by proxy and node
  std::vector<Life> lives_;
  std::map<std::pair<std::size_t, EndpointId>, Cut> cuts_;  // the latest
  std::vector<std::vector<std::uint32_t>> connections_, arrivals_;
  std::vector<std::uint32_t> lists_;
  std::uint64_t excused_ = 0;
  std::set<EndpointId> out_;
  std::uint64_t sent_to_out_ = 0;
};

}  // namespace beechhill::testbed
