// Random runs of the real module, from fixed seeds and over drawn deployments, against the rules of
// the brief and against what must always be true of it from outside. What the rules say stands in
// emulator::RuleChecker alone. A run that fails prints its seed, its last events and the history of
// the request.
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
using emulator::to_s;
using emulator::to_span;

constexpr std::size_t kScript = 24;  // events that a failing run prints
constexpr EndpointId kFew = 5;       // servers that are left when all is over

double log_uniform(Stream& dice, double from, double to) {
  return from * std::pow(to / from, dice.uniform());
}
template <typename T>
T one_of(Stream& dice, std::initializer_list<T> of) {
  return *(of.begin() + static_cast<std::ptrdiff_t>(dice.below(of.size())));
}

emulator::ClassSpec drawn_class(Stream& dice, std::size_t number) {
  emulator::ClassSpec c;
  c.name = "c" + std::to_string(number);
  ClassSettings& k = c.settings;
  k.idempotency = static_cast<Idempotency>(dice.below(3));
  k.deduplication_scope = static_cast<DeduplicationScope>(dice.below(3));
  k.latency_objective = to_span(log_uniform(dice, 0.02, 30));
  k.deadline = k.latency_objective + to_span(3 * dice.uniform() * to_s(k.latency_objective));
  k.deduplication_window = to_span(log_uniform(dice, 0.2, 3) * to_s(k.deadline));
  k.priority_weight = one_of(dice, {0.0, 1.0, 1.0, 3.0, 10.0});
  k.late_priority_factor = one_of(dice, {0.0, 0.0, 0.3});
  k.latency_objective_work_factor = one_of(dice, {0.0, 2.0});
  k.streaming = dice.below(4) == 0;
  c.work_s = to_s(k.latency_objective) / 10;
  return c;
}

class Play {
 public:
  explicit Play(std::uint64_t seed)
      : seed_(seed),
        dice_(seed, Actor::kClients, 0),
        told_(deployment()),
        rules_(told_),
        driver_(settings()) {
    driver_.on_actions = [this](const std::vector<Action>& actions) { carry_out(actions); };
    servers_.resize(one_of<std::size_t>(dice_, {1, 2, 6, 20, 60, 300}));
    for (EndpointId id = 0; id < servers_.size(); ++id) {
      servers_[id].entry = {id, EndpointStatus::kRemoved, 0, 0, {}, 0};
      renew(servers_[id].entry);
    }
  }

  // The text of all actions.
  std::string run() {
    if (dice_.below(4) > 0) {
      whole_list(UpdateKind::kCached);  // else it knows none yet
    }
    const Duration longest = emulator::longest_deadline(told_);
    const double gap = to_s(longest) / log_uniform(dice_, 20, 400);
    for (int i = 0; i < 400; ++i) {
      advance(driver_.now + to_span(dice_.exponential(gap)));
      arrive();
      if (dice_.below(8) == 0) {
        disturb();
      }
    }
    advance(driver_.now + 2 * longest);
    for (const auto& [id, c] : calls_) {
      if (!c.over) {
        fail("request " + std::to_string(id) + " has no answer");
      }
      if (c.out > 0) {
        fail("request " + std::to_string(id) + " has an attempt without an outcome");
      }
    }
    aftermath();
    return text_.str();
  }

 private:
  struct Server {
    Endpoint entry;
    bool barred = false;
    std::optional<Time> away;  // since when the module has known that it may not be sent to
    double errors = 0, silent = 0, full = 0, pace = 0.1;
  };
  struct Attempt {
    EndpointId server = 0;
    bool open = true, maybe = true, streamed = false;
  };
  struct Made {
    ClassId c = 0;
    Time came{0}, deadline{0};
    bool over = false, spent = false, large = false;
    int out = 0;
    std::vector<Attempt> attempts;
  };

  // ---- What is drawn

  Scenario deployment() {
    Scenario s;
    const std::size_t classes = one_of<std::size_t>(dice_, {1, 2, 3, 10});
    for (std::size_t i = 0; i < classes; ++i) {
      s.classes.push_back(drawn_class(dice_, i));
    }
    s.drain_grace = Duration{-1};  // of the module itself: it sends nothing new from the word on
    s.answer_grace = Duration{0};
    s.parallel_tries = dice_.below(2) == 0;
    return s;
  }

  Settings settings() {
    Settings s;
    s.seed = dice_.bits();
    for (const auto& c : told_.classes) {
      s.classes.push_back(c.settings);
    }
    const std::size_t tenants = one_of<std::size_t>(dice_, {0, 1, 7, 40});
    for (std::size_t i = 0; i < tenants; ++i) {
      s.tenants.push_back({1, one_of(dice_, {0.0, 0.1, 5.0})});
    }
    s.over_quota_priority_factor = dice_.uniform();
    s.tier_count = 1 + static_cast<std::uint32_t>(dice_.below(3));
    s.tier = static_cast<std::uint32_t>(dice_.below(s.tier_count));
    s.replicas = one_of<std::uint32_t>(dice_, {1, 2, 15, 100});
    s.time_step = one_of(dice_, {milliseconds(1), milliseconds(4)});
    s.discovery_polling_required = dice_.below(4) == 0;
    s.discovery_poll_interval = milliseconds(10000);
    s.slow_start_window = to_span(one_of(dice_, {0.0, 2.0, 30.0}));
    s.slow_start_initial_weight = log_uniform(dice_, 0.05, 1);
    s.overload_collapse_ratio = 1 + 3 * dice_.uniform();
    s.overload_collapse_delay = milliseconds(3000);
    s.load_reports_require_health_checks = dice_.below(2) == 0;
    s.health_checks_allowed = dice_.below(2) == 0;
    s.health_check_cost = one_of(dice_, {0.0, 0.01, 1.0});
    s.cancellation_allowed = dice_.below(2) == 0;
    s.hedging_allowed = told_.parallel_tries;
    s.max_attempts = 1 + static_cast<std::uint32_t>(dice_.below(6));
    s.max_retry_after = milliseconds(1500);
    s.connect_timeout = one_of(dice_, {milliseconds(5), milliseconds(100)});
    s.cross_zone_cost = one_of(dice_, {0.0, 1.0});
    settings_ = s;
    return s;
  }

  void renew(Endpoint& e) {  // a machine of that number, wherever it stands now
    e.zone = static_cast<std::uint32_t>(dice_.below(3));
    e.cell = static_cast<std::uint32_t>(dice_.below(4));
    e.instance_type = static_cast<std::uint32_t>(dice_.below(3));
    e.started_at.reset();
    if (dice_.below(2) == 0) {
      e.started_at = driver_.now - to_span(20 * dice_.uniform());
    }
    e.status = EndpointStatus::kUp;
  }

  double absurd() {
    using Limits = std::numeric_limits<double>;
    return one_of(dice_, {Limits::quiet_NaN(), Limits::infinity(), -Limits::infinity(), -1.0, 0.0,
                          1e-300, 1e308, 1e5});
  }
  LoadReport report() {
    if (quiet_) {
      return {};
    }
    if (dice_.below(3) == 0) {
      return {};
    }
    if (dice_.below(10) == 0) {
      return {absurd(), absurd()};
    }
    return {dice_.uniform(), 100 * dice_.uniform()};
  }

  // ---- Time

  void at(Time when, std::function<void()> what) { happenings_.emplace(when, std::move(what)); }

  void advance(Time until) {
    while (!happenings_.empty() && happenings_.begin()->first <= until) {
      const Time when = std::max(driver_.now, happenings_.begin()->first);
      const auto what = std::move(happenings_.begin()->second);
      happenings_.erase(happenings_.begin());
      driver_.advance(when - driver_.now);
      what();
    }
    driver_.advance(until - driver_.now);
  }

  void give(const Event& event, const std::string& what) {
    script_.push_back(std::to_string(to_s(driver_.now)) + " " + what);
    if (script_.size() > kScript) {
      script_.pop_front();
    }
    driver_.handle(event);
  }

  // ---- Clients

  void arrive() {
    const RequestId id = next_++;
    Made& made = calls_[id];
    made.c = static_cast<ClassId>(dice_.below(told_.classes.size()));
    const Duration all = told_.classes[made.c].settings.deadline;
    made.came = driver_.now;
    made.deadline = driver_.now + to_span(to_s(all) * one_of(dice_, {1.0, 1.0, 0.4, 0.01}));
    made.large = dice_.below(20) == 0;
    Request r;
    r.id = id;
    r.class_id = made.c;
    if (!settings_.tenants.empty() && dice_.below(10) > 0) {
      r.tenant = static_cast<TenantId>(dice_.below(settings_.tenants.size()));
    }
    r.deadline = made.deadline;
    r.streams_body = made.large;
    if (dice_.below(2) == 0) {
      r.work_hint = to_span(to_s(all) / 20);
    }
    rules_.taken(driver_.now, id, r.class_id, r.deadline);
    at(r.deadline, [this, id] { deadline(id); });
    if (dice_.below(12) == 0) {
      at(driver_.now + to_span(to_s(all) * dice_.uniform()), [this, id] { leave(id); });
    }
    give(r, "request " + std::to_string(id) + " class " + std::to_string(r.class_id));
  }

  void leave(RequestId id) {
    Made& made = calls_.at(id);
    if (made.over) {
      return;
    }
    made.over = true;
    rules_.answered(driver_.now, id, false);  // nothing is owed any more
    give(ClientDisconnected{id}, "client of " + std::to_string(id) + " leaves");
  }

  // The embedder stops waiting; what has no answer by now is late.
  void deadline(RequestId id) {
    for (std::uint32_t i = 0; i < calls_.at(id).attempts.size(); ++i) {
      outcome(id, i, calls_.at(id).over ? Result::kCancelled : Result::kTimeout);
    }
    rules_.overdue(driver_.now, id);
    check();
  }

  // ---- Attempts

  void outcome(RequestId id, std::uint32_t attempt, Result result) {
    Made& made = calls_.at(id);
    Attempt& a = made.attempts[attempt];
    if (!a.open) {
      return;
    }
    a.open = false;
    a.maybe = result != Result::kOverloaded && result != Result::kConnectFailed &&
              result != Result::kSkipped;
    --made.out;
    rules_.ended(driver_.now, id, attempt, result);
    if (result == Result::kOk && !made.over) {
      made.over = true;
      rules_.answered(driver_.now, id, false);
    }
    made.spent = made.spent || (made.large && dice_.below(2) == 0);
    give(Outcome{id, attempt, result, made.over, report(), made.spent},
         "outcome " + std::to_string(static_cast<int>(result)) + " of " + std::to_string(id) + "." +
             std::to_string(attempt));
    // What is neither out nor over is held, and that only while nothing may have run: to give up is
    // to answer now.
    const bool maybe =
        std::any_of(made.attempts.begin(), made.attempts.end(), [](auto& x) { return x.maybe; });
    if (!made.over && made.out == 0 && (maybe || made.spent)) {
      fail("request " + std::to_string(id) + " is parked");
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
    Made& made = calls_.at(a.id);
    const Server& s = servers_.at(a.endpoint);
    rules_.sent(driver_.now, a.id, 0, a.endpoint, s.entry, s.away);
    if (made.spent) {
      fail("request " + std::to_string(a.id) + " sent again, its body gone in part");
    }
    if (made.attempts.size() >= settings_.max_attempts) {
      fail("too many attempts of " + std::to_string(a.id));
    }
    const auto attempt = static_cast<std::uint32_t>(made.attempts.size());
    made.attempts.push_back({a.endpoint});
    ++made.out;
    const double chance = dice_.uniform();
    Result result = Result::kOk;
    double takes = s.pace;
    if (chance < s.silent) {
      return;  // until the deadline
    }
    if (chance < s.silent + s.errors) {
      result = one_of(dice_, {Result::kError, Result::kReset}), takes = 1e-3;
    } else if (chance < s.silent + s.errors + s.full) {
      result = Result::kOverloaded, takes = 1e-3;
    } else if (dice_.below(25) == 0) {
      result = static_cast<Result>(dice_.below(8));
    }
    const Duration after =
        to_span(dice_.exponential(takes * to_s(told_.classes[made.c].settings.latency_objective)));
    const RequestId id = a.id;
    if (driver_.now + after < made.deadline) {
      at(driver_.now + after, [this, id, attempt, result] { outcome(id, attempt, result); });
    }
    if (told_.classes[made.c].settings.streaming && result == Result::kOk) {
      at(driver_.now + after / 2, [this, id, attempt] {
        Made& m = calls_.at(id);
        if (m.over || !m.attempts[attempt].open) {
          return;
        }
        m.attempts[attempt].streamed = true;
        give(FirstByte{id, attempt}, "first byte of " + std::to_string(id));
      });
    }
  }
  void act(const Cancel& a) {
    const Attempt& attempt = calls_.at(a.id).attempts.at(a.attempt);
    if (!attempt.open || attempt.streamed) {
      fail("cancel of what is over or streams: " + std::to_string(a.id));
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
    Made& made = calls_.at(id);
    made.over = true;
    // At the first tier a client that gets nothing hears so before half of its own time is over.
    const Duration half = (made.deadline - made.came) / 2 + settings_.time_step;
    if (made.attempts.empty() && settings_.tier == 0 && driver_.now > made.came + half) {
      fail("request " + std::to_string(id) + " was kept waiting, unsent");
    }
  }
  void act(const HealthCheck& a) {
    if (!settings_.health_checks_allowed) {
      fail("probe where none is allowed");
    }
    if (servers_.at(a.endpoint).away) {
      fail("probe of a server that is away");
    }
    const Result result = dice_.below(5) == 0 ? Result::kTimeout : Result::kOk;
    at(driver_.now + milliseconds(5),
       [this, a, result] { give(HealthCheckResult{a.endpoint, result, report()}, "probed"); });
  }
  void act(const SetTimer& a) {
    if (a.at < driver_.now) {
      fail("a timer in the past");
    }
  }
  void act(const WatchEndpoints&) {
    if (dice_.below(2) == 0) {
      at(driver_.now, [this] { give(EndpointUpdate{UpdateKind::kFailed, {}}, "list fails"); });
    }
  }

  // ---- Servers and their list

  void tell(Server& s) {
    const bool may = s.entry.status == EndpointStatus::kUp && !s.barred;
    if (may) {
      s.away.reset();
    }
    if (!may && !s.away) {
      s.away = driver_.now;
    }
  }

  Server& any() { return servers_[dice_.below(servers_.size())]; }

  void whole_list(UpdateKind kind) {
    EndpointUpdate d{kind, {}};
    const double part = one_of(dice_, {0.0, 0.3, 0.9, 1.0, 1.0});
    for (Server& s : servers_) {
      s.entry.status = EndpointStatus::kRemoved;
      if (dice_.uniform() < part) {
        s.entry.status = one_of(dice_, {EndpointStatus::kUp, EndpointStatus::kUp,
                                        EndpointStatus::kUp, EndpointStatus::kDraining});
        d.endpoints.push_back(s.entry);
      }
    }
    for (Server& s : servers_) {
      tell(s);
    }
    give(d, "whole list of " + std::to_string(d.endpoints.size()));
  }

  void changes() {
    EndpointUpdate d{UpdateKind::kDelta, {}};
    const std::size_t most = 1 + dice_.below(std::max<std::size_t>(1, servers_.size() / 3));
    std::set<EndpointId> named;
    for (std::size_t i = 0; i < most; ++i) {
      Server& s = any();
      if (!named.insert(s.entry.id).second) {
        continue;
      }
      switch (dice_.below(4)) {
        case 0:
          s.entry.status = EndpointStatus::kDraining;
          break;
        case 1:
          s.entry.status = EndpointStatus::kRemoved;
          break;
        case 2:  // the same number stands for another machine, or it has moved
          renew(s.entry);
          break;
        default:
          s.entry.status = EndpointStatus::kUp;
          s.entry.started_at = driver_.now - to_span(2 * dice_.uniform());
      }
      tell(s);
      d.endpoints.push_back(s.entry);
      // Of one that has gone a list may leave out where it stood.
      if (s.entry.status == EndpointStatus::kRemoved && dice_.below(2) == 0) {
        d.endpoints.back().zone = d.endpoints.back().cell = 0;
      }
    }
    give(d, std::to_string(d.endpoints.size()) + " changes");
  }

  void disturb() {
    switch (dice_.below(6)) {
      case 0:
        return whole_list(UpdateKind::kSnapshot);
      case 1:
        return changes();
      case 2: {
        Server& s = any();
        s.barred = !s.barred;
        tell(s);
        return give(EndpointExclusion{s.entry.id, s.barred},
                    (s.barred ? "ban of " : "end of ban of ") + std::to_string(s.entry.id));
      }
      case 3: {
        Server& s = any();
        s.errors = one_of(dice_, {0.0, 0.5}), s.silent = one_of(dice_, {0.0, 0.0, 1.0});
        s.full = one_of(dice_, {0.0, 0.3}), s.pace = one_of(dice_, {0.05, 0.2, 1.0});
        return;
      }
      case 4:
        for (Server& s : servers_) {
          s.pace = one_of(dice_, {0.1, 0.1, 2.0});
        }
        return;
      default:
        return advance(
            driver_.now +
            to_span(one_of(dice_, {0.001, 1.0, 100.0})));  // nobody calls; the clock goes on
    }
  }

  // ---- What must be true once all is over: a few whole servers, nothing running, and a long pause

  std::size_t send_all(int n, std::vector<RequestId>* ids = nullptr) {
    const std::size_t before = driver_.attempts.size();
    for (int i = 0; i < n; ++i) {
      const RequestId id = next_++;
      Made& made = calls_[id];
      const ClassSettings& k = told_.classes[0].settings;
      made.came = driver_.now, made.deadline = driver_.now + k.deadline;
      rules_.taken(driver_.now, id, 0, made.deadline);
      at(made.deadline, [this, id] { deadline(id); });
      give(Request{id, 0, kNoTenant, made.deadline, {}}, "request " + std::to_string(id));
      if (ids) {
        ids->push_back(id);
      }
    }
    return driver_.attempts.size() - before;
  }

  void aftermath() {
    servers_.resize(std::max<std::size_t>(servers_.size(), kFew));
    for (EndpointId id = 0; id < servers_.size(); ++id) {
      Server& s = servers_[id];
      s.entry.id = id;
      if (s.barred) {
        s.barred = false, give(EndpointExclusion{id, false}, "end of ban");
      }
      s.entry.status = id < kFew ? EndpointStatus::kUp : EndpointStatus::kRemoved;
      s.entry.started_at.reset();
      s.errors = s.full = 0, s.silent = 1;
      tell(s);
    }
    EndpointUpdate d{UpdateKind::kSnapshot, {}};
    for (EndpointId id = 0; id < kFew; ++id) {
      servers_[id].entry.instance_type = 0;
      d.endpoints.push_back(servers_[id].entry);
    }
    give(d, "the last list");
    advance(driver_.now + std::chrono::hours(2));
    quiet_ = true;  // only plain reports from here on
    std::vector<RequestId> ids;
    if (send_all(1, &ids) != 1) {
      fail("a lone call is held with all servers idle");
    }
    if (!calls_.at(ids[0]).attempts.empty()) {
      outcome(ids[0], 0, Result::kOk);
    }
    // No report, however absurd, outlives sixty plain ones: each of five equal servers has its
    // part. Where crossing has a price and home has servers, the others may get none: home is half
    // used.
    for (int i = 0; i < 60; ++i) {
      for (EndpointId id = 0; id < kFew; ++id) {
        give(HealthCheckResult{id, Result::kOk, {0.5, 10.0}}, "plain report");
      }
    }
    std::map<EndpointId, int> got;
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
      const std::size_t before = driver_.attempts.size();
      ids.clear();
      send_all(1, &ids);
      if (driver_.attempts.size() > before) {
        ++sent, ++got[driver_.attempts.back().endpoint];
      }
      advance(driver_.now + told_.classes[0].settings.latency_objective / 20);
      if (!calls_.at(ids[0]).attempts.empty()) {
        outcome(ids[0], 0, Result::kOk);
      }
    }
    const auto home = [&](EndpointId id) { return servers_[id].entry.zone == settings_.zone; };
    bool all = true;
    for (EndpointId id = 0; id < kFew; ++id) {
      all &= settings_.cross_zone_cost == 0 || !home(id);
    }
    for (EndpointId id = 0; id < kFew; ++id) {
      if ((all || home(id)) && 20 * got[id] < sent - 20) {  // a closed C lets few calls through
        fail("server " + std::to_string(id) + " gets " + std::to_string(got[id]) + " of " +
             std::to_string(sent) + " calls");
      }
    }
    // C is finite once calls have timed out.
    send_all(300);
    advance(driver_.now + 2 * emulator::longest_deadline(told_));
    if (send_all(300) >= 300) {
      fail("C stays open after nothing was answered");
    }
    advance(driver_.now + 2 * emulator::longest_deadline(told_));
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
    for (const std::string& line : script_) {
      script += "  " + line + "\n";
    }
    ADD_FAILURE() << "seed " << seed_ << ": " << what << "\nlast events:\n" << script;
  }

  const std::uint64_t seed_;
  Stream dice_;
  Settings settings_;
  Scenario told_;
  emulator::RuleChecker rules_;
  Driver driver_;
  std::vector<Server> servers_;
  std::map<RequestId, Made> calls_;
  std::multimap<Time, std::function<void()>> happenings_;
  std::deque<std::string> script_;
  std::ostringstream text_;
  RequestId next_ = 1;
  bool quiet_ = false, failed_ = false;
};

class Runs : public testing::TestWithParam<std::uint64_t> {};

TEST_P(Runs, KeepTheRules) {
  for (std::uint64_t i = 0; i < 50 && !HasFailure(); ++i) {
    Play(50 * GetParam() + i).run();
  }
}
INSTANTIATE_TEST_SUITE_P(Random, Runs, testing::Range<std::uint64_t>(0, 12));

TEST(Runs, EqualEventsGiveEqualActions) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    EXPECT_EQ(Play(seed).run(), Play(seed).run());
  }
}

// ---- Whole worlds, where what servers can do is known: the fourth rule needs that

Scenario drawn_world(std::uint64_t seed) {
  Stream dice(seed, Actor::kFaults, 1);
  Scenario s;
  s.seed = seed;
  s.name = "drawn-" + std::to_string(seed);
  emulator::TierSpec tier;
  tier.name = "only";
  tier.nodes = one_of<std::uint32_t>(dice, {3, 8, 24, 100});
  tier.cores = std::min(one_of<std::uint32_t>(dice, {1, 2, 8, 32}), 256 / tier.nodes);
  tier.slots = tier.cores * 12, tier.room = tier.cores * 12;
  tier.zones = 1 + static_cast<std::uint32_t>(dice.below(3));
  tier.speed = {0.7, 1.1};
  tier.cold_from = log_uniform(dice, 0.1, 0.5);
  tier.cold_span = to_span(log_uniform(dice, 5, 25));
  tier.choke_crowd = 6;
  s.tiers.push_back(tier);
  s.proxies = one_of<std::uint32_t>(dice, {1, 4, 30});
  s.load.utilisation = 0.3 + 0.6 * dice.uniform();
  const std::size_t classes = one_of<std::size_t>(dice, {1, 2, 4});
  // So much work a call that a minute holds some ten thousand of them, and the rule's window more
  // than a few.
  const double work =
      std::clamp(60.0 * tier.nodes * tier.cores / 12'000 * log_uniform(dice, 0.7, 2), 0.002, 0.25);
  for (std::size_t i = 0; i < classes; ++i) {
    emulator::ClassSpec c = drawn_class(dice, i);
    c.work_s = work * log_uniform(dice, 0.7, 1.4);
    c.settings.latency_objective = to_span(c.work_s * log_uniform(dice, 6, 30));
    c.settings.deadline = to_span(to_s(c.settings.latency_objective) * (1.5 + 2 * dice.uniform()));
    c.settings.deduplication_window = c.settings.deadline;
    c.settings.latency_objective_work_factor = 0;
    c.settings.streaming = false;
    s.classes.push_back(c);
  }
  s.length = std::chrono::seconds(60);
  for (int i = 0; i < 3; ++i) {
    using Kind = emulator::FaultKind;
    emulator::FaultSpec f;
    f.kind = one_of(dice, {Kind::kSilent, Kind::kCrash, Kind::kCrash, Kind::kDrain, Kind::kReplace,
                           Kind::kProxyCrash, Kind::kStaleList, Kind::kErrors, Kind::kSlow,
                           Kind::kLateReports});
    f.at = to_span(5 + 10 * i + 5 * dice.uniform());
    f.length = to_span(4 + 6 * dice.uniform());
    f.part = one_of(dice, {0.1, 0.3, 0.5});
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
    emulator::World world(drawn_world(seed),
                          [](Time now, const Settings& settings, const emulator::TrueState& truth,
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
