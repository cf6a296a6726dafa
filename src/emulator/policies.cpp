#include <algorithm>
#include <cmath>
#include <functional>
#include <unordered_map>

#include "emulator/policy.h"
#include "emulator/random.h"
#include "emulator/units.h"

namespace beechhill::emulator {
namespace {

class ModulePolicy : public Policy {
 public:
  ModulePolicy(Time now, const Settings& settings, std::vector<Action>& actions)
      : balancer_(now, settings, actions) {}
  void handle(Time now, const Event& event, std::vector<Action>& actions) override {
    balancer_.handle(now, event, actions);
  }
  EndpointStats known(EndpointId server) const override { return balancer_.endpoint_stats(server); }

 private:
  Balancer balancer_;
};

struct Known {  // a node as a plain policy sees it
  bool up = false;
  Endpoint entry;
  std::uint32_t out = 0;
  double rates = 0, utils = 0;
  double credit = 0;  // of a cold node: what it may still be sent
  Time credited{0};
};

// What the plain policies share: no queue, no limit, tries again only what the class allows, and
// gives a cold node its warmth's share of what a warm one gets from here.
class PlainPolicy : public Policy {
 public:
  explicit PlainPolicy(const Settings& settings)
      : s_(settings), random_(settings.seed, Actor::kPolicy, 0) {}

  void handle(Time now, const Event& event, std::vector<Action>& actions) override {
    now_ = now;
    out_ = &actions;
    if (const auto* d = std::get_if<EndpointUpdate>(&event)) {
      on(*d);
    }
    if (const auto* r = std::get_if<Request>(&event)) {
      on(*r);
    }
    if (const auto* o = std::get_if<Outcome>(&event)) {
      on(*o);
    }
    if (const auto* g = std::get_if<ClientDisconnected>(&event)) {
      on(*g);
    }
  }

 protected:
  // One of `up()`, of which there is one at the least.
  virtual std::size_t choose() = 0;
  virtual bool admits(const Request&) { return true; }
  virtual bool spare(Known& k) { return !cold(k) || credit_allows(k); }
  const std::vector<EndpointId>& up() const { return up_; }
  Known& known(std::size_t i) { return servers_[up_[i]]; }
  Time now() const { return now_; }
  Stream& random() { return random_; }
  const Settings& settings() const { return s_; }

 private:
  struct Call {
    Request request;
    std::vector<EndpointId> tried;
    std::vector<Time> sent;
    std::optional<std::size_t> maybe_ran;
    std::uint32_t out = 0;
    bool over = false;
  };

  void on(const EndpointUpdate& d) {
    if (d.kind == UpdateKind::kFailed) {
      return;
    }
    if (d.kind != UpdateKind::kDelta) {
      for (Known& k : servers_) {
        k.up = false;
      }
    }
    for (const Endpoint& e : d.endpoints) {
      if (servers_.size() <= e.id) {
        servers_.resize(e.id + 1);
      }
      Known& k = servers_[e.id];
      k.entry = e;
      k.up = e.status == EndpointStatus::kUp;
    }
    up_.clear();
    for (EndpointId id = 0; id < servers_.size(); ++id) {
      if (servers_[id].up) {
        up_.push_back(id);
      }
    }
  }

  bool cold(const Known& k) const {
    return k.entry.started_at && now_ < *k.entry.started_at + s_.slow_start_window;
  }
  bool credit_allows(Known& k) {  // whether a cold node's credit covers one more
    const double age = to_s(now_ - *k.entry.started_at);
    const double span = to_s(s_.slow_start_window);
    const double warmth = s_.slow_start_initial_weight +
                          (1 - s_.slow_start_initial_weight) * std::max(0.0, age) / span;
    const double dt = to_s(now_ - k.credited);
    k.credit = std::min(1.0, k.credit + warmth * dt * rate_ / static_cast<double>(up_.size()));
    k.credited = now_;
    return k.credit >= 1;
  }

  bool group_allows(const Call& c, const Known& k) const {
    if (!c.maybe_ran) {
      return true;
    }
    const ClassSettings& s = s_.classes[c.request.class_id];
    if (s.idempotency == Idempotency::kIdempotent) {
      return true;
    }
    if (s.idempotency == Idempotency::kNonIdempotent ||
        now_ >= c.sent[*c.maybe_ran] + s.deduplication_window) {
      return false;
    }
    const Endpoint& first = servers_[c.tried[*c.maybe_ran]].entry;
    return s.deduplication_scope == DeduplicationScope::kAll ||
           (k.entry.zone == first.zone &&
            (s.deduplication_scope == DeduplicationScope::kZone || k.entry.cell == first.cell));
  }

  // What choose() says, a few times; then whichever is allowed.
  std::optional<EndpointId> pick(const Call& c) {
    if (up_.empty() || !admits(c.request)) {
      return std::nullopt;
    }
    for (int i = 0; i < 3; ++i) {
      const EndpointId id = up_[choose()];
      if (group_allows(c, servers_[id]) && spare(servers_[id])) {
        return id;
      }
    }
    const std::size_t from = random_.below(up_.size());
    for (std::size_t i = 0; i < up_.size(); ++i) {
      const EndpointId id = up_[(from + i) % up_.size()];
      if (group_allows(c, servers_[id]) && spare(servers_[id])) {
        return id;
      }
    }
    return std::nullopt;
  }

  bool send(Call& c) {
    const auto id = pick(c);
    if (!id) {
      return false;
    }
    Known& k = servers_[*id];
    k.out += 1;
    if (cold(k)) {
      k.credit -= 1;
    }
    c.tried.push_back(*id);
    c.sent.push_back(now_);
    c.out += 1;
    out_->push_back(StartAttempt{c.request.id, *id});
    return true;
  }

  void on(const Request& r) {
    const double dt = to_s(now_ - rated_);
    rate_ = rate_ * std::exp(-dt / 5) + 1.0 / 5;
    rated_ = now_;
    Call& c = calls_[r.id];
    c.request = r;
    if (!send(c)) {
      give_up(c);
    }
    tidy(r.id);
  }

  void on(const Outcome& o) {
    const auto it = calls_.find(o.id);
    if (it == calls_.end()) {
      return;
    }
    Call& c = it->second;
    Known& k = servers_[c.tried[o.attempt]];
    k.out -= k.out > 0;
    if (o.report.requests_per_s && o.report.utilization) {
      k.rates += *o.report.requests_per_s - 0.2 * k.rates;
      k.utils += *o.report.utilization - 0.2 * k.utils;
    }
    c.out -= 1;
    const bool never = o.result == Result::kOverloaded || o.result == Result::kConnectFailed ||
                       o.result == Result::kSkipped;
    if (!never && !c.maybe_ran) {
      c.maybe_ran = o.attempt;
    }
    c.over = c.over || o.is_final || o.result == Result::kOk;
    if (!c.over && c.out == 0) {
      const bool more = c.tried.size() < s_.max_attempts && now_ < c.request.deadline;
      if (!more || !send(c)) {
        give_up(c);
      }
    }
    tidy(o.id);
  }

  void on(const ClientDisconnected& g) {
    const auto it = calls_.find(g.id);
    if (it == calls_.end()) {
      return;
    }
    it->second.over = true;
    tidy(g.id);
  }

  void give_up(Call& c) {
    const ClassSettings& k = s_.classes[c.request.class_id];
    const bool safe = !c.maybe_ran || k.idempotency == Idempotency::kIdempotent ||
                      (k.idempotency == Idempotency::kIdempotencyKey &&
                       k.deduplication_scope == DeduplicationScope::kAll);
    c.over = true;
    out_->push_back(safe ? Action(Reject{c.request.id, Duration{0}}) : Action(Fail{c.request.id}));
  }

  void tidy(RequestId id) {
    const auto it = calls_.find(id);
    if (it != calls_.end() && it->second.over && it->second.out == 0) {
      calls_.erase(it);
    }
  }

  Settings s_;
  Stream random_;
  Time now_{0}, rated_{0};
  double rate_ = 0;
  std::vector<Action>* out_ = nullptr;
  std::vector<Known> servers_;
  std::vector<EndpointId> up_;
  std::unordered_map<RequestId, Call> calls_;  // looked up only
};

class RandomPolicy : public PlainPolicy {
 public:
  using PlainPolicy::PlainPolicy;
  std::size_t choose() override { return random().below(up().size()); }
};

class RoundRobin : public PlainPolicy {
 public:
  explicit RoundRobin(const Settings& s) : PlainPolicy(s), next_(random().below(1 << 20)) {}
  std::size_t choose() override { return next_++ % up().size(); }

 private:
  std::size_t next_;  // proxies do not go round together
};

class TwoChoices : public PlainPolicy {
 public:
  using PlainPolicy::PlainPolicy;
  std::size_t choose() override {
    const std::size_t a = random().below(up().size()), b = random().below(up().size());
    return known(b).out < known(a).out ? b : a;
  }
};

class LeastOutstanding : public PlainPolicy {
 public:
  using PlainPolicy::PlainPolicy;
  std::size_t choose() override {
    const std::size_t from = random().below(up().size());  // ties go to a different one each time
    std::size_t best = from;
    for (std::size_t i = 1; i < up().size(); ++i) {
      const std::size_t at = (from + i) % up().size();
      if (known(at).out < known(best).out) {
        best = at;
      }
    }
    return best;
  }
};

// Random, in proportion to reported rate over reported utilisation.
class Weighted : public PlainPolicy {
 public:
  using PlainPolicy::PlainPolicy;
  std::size_t choose() override {
    double rates = 0, utils = 0;
    for (std::size_t i = 0; i < up().size(); ++i) {
      rates += known(i).rates, utils += known(i).utils;
    }
    const double mean = utils > 0 && rates > 0 ? rates / utils : 1;
    const auto weight = [&](const Known& k) {
      return std::max(0.1 * mean, (k.rates + mean) / (k.utils + 1));
    };
    double all = 0;
    for (std::size_t i = 0; i < up().size(); ++i) {
      all += weight(known(i));
    }
    double left = random().uniform() * all;
    for (std::size_t i = 0; i < up().size(); ++i) {
      if ((left -= weight(known(i))) < 0) {
        return i;
      }
    }
    return up().size() - 1;
  }
};

class Oracle : public PlainPolicy {
 public:
  Oracle(const Settings& s, const TrueState& truth) : PlainPolicy(s), truth_(truth) {
    for (const ClassSettings& c : s.classes) {
      most_worth_ = std::max(most_worth_, c.priority_weight);
    }
  }
  // Refuses at the first tier what would wait too long for its aim, the cheaper classes sooner.
  bool admits(const Request& r) override {
    if (settings().tier > 0) {
      return true;
    }
    const ClassSettings& k = settings().classes[r.class_id];
    const double wait = truth_.wait_s(now(), 0, up()[choose()]);
    return wait <= to_s(k.latency_objective) * (0.25 + 0.5 * k.priority_weight / most_worth_);
  }
  bool spare(Known& k) override { return truth_.spares(now(), settings().tier, k.entry.id); }
  std::size_t choose() override {
    const std::uint32_t tier = settings().tier;
    std::size_t best = random().below(up().size());
    double least = 1e18;
    const std::size_t from = best;
    for (std::size_t i = 0; i < up().size(); ++i) {
      const std::size_t at = (from + i) % up().size();
      if (!truth_.spares(now(), tier, up()[at])) {
        continue;
      }
      const double wait = truth_.wait_s(now(), tier, up()[at]);
      if (wait < least) {
        least = wait, best = at;
      }
    }
    return best;
  }

 private:
  const TrueState& truth_;
  double most_worth_ = 1e-9;
};

}  // namespace

const std::vector<std::string>& policy_names() {
  static const std::vector<std::string> names{
      "module", "random", "round_robin", "two_choices", "least_outstanding", "weighted", "oracle"};
  return names;
}

std::unique_ptr<Policy> make_policy(const std::string& name, Time now, const Settings& settings,
                                    const TrueState& truth, std::vector<Action>& actions) {
  if (name == "module") {
    return std::make_unique<ModulePolicy>(now, settings, actions);
  }
  if (name == "random") {
    return std::make_unique<RandomPolicy>(settings);
  }
  if (name == "round_robin") {
    return std::make_unique<RoundRobin>(settings);
  }
  if (name == "two_choices") {
    return std::make_unique<TwoChoices>(settings);
  }
  if (name == "least_outstanding") {
    return std::make_unique<LeastOutstanding>(settings);
  }
  if (name == "weighted") {
    return std::make_unique<Weighted>(settings);
  }
  if (name == "oracle") {
    return std::make_unique<Oracle>(settings, truth);
  }
  return nullptr;
}

}  // namespace beechhill::emulator
