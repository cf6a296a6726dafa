#include "testbed/observation_log.h"

#include <algorithm>
#include <charconv>

namespace beechhill::testbed {
namespace {

// Backends may still see a request's attempts for so long after its time: what the proxy wrote
// before, read late.
constexpr Duration kKeptAfter{5'000'000};
constexpr std::size_t kMostSeconds = 100'000;

// A backend cannot see when a proxy gives up one attempt for another, so two at once are no proof
// against it.
emulator::Scenario judged(emulator::Scenario s) {
  s.parallel_tries = true;
  return s;
}

}  // namespace

ObservationLog::ObservationLog(const emulator::Scenario& scenario, std::size_t proxies,
                               std::function<Time()> now)
    : s_(judged(scenario)),
      now_(std::move(now)),
      rules_(s_, kBookSlack),
      told_(proxies, std::vector<Told>(scenario.tiers[0].nodes)),
      lives_(proxies),
      connections_(scenario.tiers[0].nodes),
      arrivals_(scenario.tiers[0].nodes),
      lists_(proxies) {
}

std::optional<CallId> ObservationLog::call_of(std::string_view trace) {
  const std::size_t first = trace.find('-');
  const std::size_t second = first == std::string_view::npos ? first : trace.find('-', first + 1);
  if (second == std::string_view::npos) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  std::uint32_t tries = 0;
  const char* const to = trace.data() + trace.size();
  const auto a = std::from_chars(trace.data() + first + 1, trace.data() + second, number, 16);
  const auto b = std::from_chars(trace.data() + second + 1, to, tries);
  if (a.ec != std::errc() || a.ptr != trace.data() + second || b.ec != std::errc() || b.ptr != to) {
    return std::nullopt;
  }
  return call_of(number, tries);
}

void ObservationLog::count(std::vector<std::uint32_t>& by_second, Time now) {
  if (now < Time{0}) {
    return;
  }
  const auto second =
      std::min(kMostSeconds, static_cast<std::size_t>(now / std::chrono::seconds(1)));
  if (by_second.size() <= second) {
    by_second.resize(second + 1);
  }
  ++by_second[second];
}

void ObservationLog::tidy() {
  for (; !by_age_.empty() && by_age_.front().first < now_(); by_age_.pop_front()) {
    rules_.forget(by_age_.front().second);
    open_.erase(by_age_.front().second);
  }
}

void ObservationLog::asked(CallId call, ClassId c, std::size_t proxy, Time deadline) {
  tidy();
  // By the longest deadline, so that the order of asking is that of leaving.
  const Time until = now_() + emulator::longest_deadline(s_) + kKeptAfter;
  open_[call] = {proxy, now_(), 0};
  by_age_.emplace_back(until, call);
  rules_.taken(now_(), call, c, deadline);
}

void ObservationLog::answered(CallId call, bool refusal) {
  rules_.answered(now_(), call, refusal);
}

void ObservationLog::unanswered(CallId call) {
  const auto it = open_.find(call);
  if (it == open_.end()) {
    return;
  }
  const Life& life = lives_[it->second.proxy];
  if (life.troubles > 0 || life.last + kBookSlack >= it->second.asked) {
    ++excused_;
    rules_.excused(now_(), call);
  } else {
    rules_.overdue(now_(), call);
  }
}

void ObservationLog::connected(EndpointId node) {
  count(connections_[node], now_());
}

std::uint32_t ObservationLog::arrived(CallId call, const Endpoint& node) {
  count(arrivals_[node.id], now_());
  sent_to_out_ += out_.contains(node.id);
  const auto it = open_.find(call);
  if (it == open_.end()) {
    return 0;
  }
  const Told& told = told_[it->second.proxy][node.id];
  const auto cut = cuts_.find({it->second.proxy, node.id});
  const bool held = cut != cuts_.end() && it->second.asked <= cut->second.to;
  const Duration most = held ? now_() - std::max(cut->second.from, it->second.asked) : Duration{0};
  rules_.sent(now_(), call, 0, node.id, node, told.down_since, std::max(Duration{0}, most));
  return it->second.attempts++;
}

void ObservationLog::ended(CallId call, std::uint32_t attempt, Result result) {
  rules_.ended(now_(), call, attempt, result);
}

void ObservationLog::pressed(CallId call, EndpointId node, double work, double capacity,
                             Time born) {
  const auto it = open_.find(call);
  if (it == open_.end()) {
    return;
  }
  const Told& told = told_[it->second.proxy][node];
  rules_.pressed(now_(), 0, node, work, capacity, emulator::mean_work_s(s_),
                 told.up && told.up_since >= born);
}

void ObservationLog::cut(std::size_t proxy, EndpointId node, bool on) {
  Cut& cut = cuts_[{proxy, node}];
  if (on) {
    cut.from = now_();
  }
  cut.to = on ? Time::max() : now_();
}

void ObservationLog::told(std::size_t proxy, const std::vector<Endpoint>& rows, bool whole) {
  std::vector<Told>& list = told_[proxy];
  std::set<EndpointId> named;
  const auto hold = [&](EndpointId node, EndpointStatus state) {
    Told& t = list[node];
    if (state == EndpointStatus::kUp) {
      t.up = true, t.up_since = now_();
      t.down_since.reset();
    } else if (t.up) {
      t.up = false, t.down_since = now_();
    }
  };
  for (const Endpoint& e : rows) {
    hold(e.id, e.status);
    named.insert(e.id);
  }
  for (EndpointId i = 0; whole && i < list.size(); ++i) {
    if (!named.contains(i)) {
      hold(i, EndpointStatus::kRemoved);
    }
  }
}

void ObservationLog::disturbed(std::size_t proxy) {
  ++lives_[proxy].troubles;
}

void ObservationLog::undisturbed(std::size_t proxy, bool new_life) {
  Life& life = lives_[proxy];
  if (life.troubles > 0) {
    --life.troubles;
  }
  life.last = now_();
  if (new_life) {
    std::fill(told_[proxy].begin(), told_[proxy].end(), Told{});
  }
}

}  // namespace beechhill::testbed
