#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <unordered_map>
#include <variant>

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
  EndpointStats endpoint_stats(EndpointId endpoint) const override {
    return balancer_.endpoint_stats(endpoint);
  }

 private:
  Balancer balancer_;
};

// Share of a backend's accumulated load reports that is dropped with each new report.
constexpr double kReportDecay = 0.2;
// Averaging window of the request rate, in seconds.
constexpr double kRateWindowS = 5;
// Maximum number of calls of choose() for one attempt. If none returns an allowed backend, any
// allowed backend is used.
constexpr int kMaxChoices = 3;

// The state that a baseline policy keeps for a backend.
struct KnownBackend {
  bool up = false;
  Endpoint endpoint;
  std::uint32_t outstanding = 0;
  // Exponentially decaying sums of reported rates and utilisations.
  double rates = 0;
  double utilisations = 0;
  // Number of attempts that may be sent to the backend while it is cold, including fractions.
  double credit = 0;
  Time credited_at{0};
};

bool was_never_executed(Result result) {
  return result == Result::kOverloaded || result == Result::kConnectFailed ||
         result == Result::kSkipped;
}

// Common base of the baseline policies. It has no queue and no concurrency limit, and retries only
// what the class allows. With slow start, a cold backend gets a share of this proxy's requests that
// grows with its age.
class BaselinePolicy : public Policy {
 public:
  explicit BaselinePolicy(const Settings& settings)
      : settings_(settings), random_(settings.seed, Actor::kPolicy, 0) {}

  void handle(Time now, const Event& event, std::vector<Action>& actions) override {
    now_ = now;
    actions_ = &actions;
    std::visit([this](const auto& typed) { on(typed); }, event);
  }

 protected:
  // Returns an index into up(). Must not be called while up() is empty.
  virtual std::size_t choose() = 0;
  virtual bool admits(const Request&) { return true; }
  virtual bool has_capacity(KnownBackend& backend) {
    return !is_cold(backend) || has_credit(backend);
  }
  const std::vector<EndpointId>& up() const { return up_; }
  KnownBackend& known_backend(std::size_t i) { return backends_[up_[i]]; }
  Time now() const { return now_; }
  Stream& random() { return random_; }
  const Settings& settings() const { return settings_; }

 private:
  // Ignores the events that baseline policies do not use.
  template <typename OtherEvent>
  void on(const OtherEvent&) {}

  struct RequestState {
    Request request;
    // Endpoint and send time of each attempt, indexed by attempt.
    std::vector<EndpointId> endpoints;
    std::vector<Time> sent_at;
    // Index of the first attempt that may have been executed.
    std::optional<std::size_t> may_have_run;
    std::uint32_t open_attempts = 0;
    bool answered = false;
  };

  void on(const EndpointUpdate& update) {
    if (update.kind == UpdateKind::kFailed) {
      return;
    }
    if (update.kind != UpdateKind::kDelta) {
      for (KnownBackend& backend : backends_) {
        backend.up = false;
      }
    }
    for (const Endpoint& endpoint : update.endpoints) {
      if (backends_.size() <= endpoint.id) {
        backends_.resize(endpoint.id + 1);
      }
      KnownBackend& backend = backends_[endpoint.id];
      backend.endpoint = endpoint;
      backend.up = endpoint.status == EndpointStatus::kUp;
    }
    up_.clear();
    for (EndpointId id = 0; id < backends_.size(); ++id) {
      if (backends_[id].up) {
        up_.push_back(id);
      }
    }
  }

  bool is_cold(const KnownBackend& backend) const {
    const std::optional<Time>& started_at = backend.endpoint.started_at;
    return started_at && now_ < *started_at + settings_.slow_start_window;
  }

  // Adds the credit that a cold backend has earned since the last call. Returns whether it covers
  // one more attempt.
  bool has_credit(KnownBackend& backend) {
    const double age = to_s(now_ - backend.endpoint.started_at.value_or(now_));
    const double window = to_s(settings_.slow_start_window);
    const double initial = settings_.slow_start_initial_weight;
    const double capacity_share = initial + (1 - initial) * std::max(0.0, age) / window;
    const double elapsed = to_s(now_ - backend.credited_at);
    const double earned = capacity_share * elapsed * rate_ / static_cast<double>(up_.size());
    backend.credit = std::min(1.0, backend.credit + earned);
    backend.credited_at = now_;
    return backend.credit >= 1;
  }

  // Whether the class allows an attempt at this backend after an earlier attempt that may have been
  // executed.
  bool may_repeat_at(const RequestState& state, const KnownBackend& backend) const {
    if (!state.may_have_run) {
      return true;
    }
    const ClassSettings& settings = settings_.classes[state.request.class_id];
    if (settings.idempotency == Idempotency::kIdempotent) {
      return true;
    }
    if (settings.idempotency == Idempotency::kNonIdempotent ||
        now_ >= state.sent_at[*state.may_have_run] + settings.deduplication_window) {
      return false;
    }
    const Endpoint& first = backends_[state.endpoints[*state.may_have_run]].endpoint;
    return settings.deduplication_scope == DeduplicationScope::kAll ||
           (backend.endpoint.zone == first.zone &&
            (settings.deduplication_scope == DeduplicationScope::kZone ||
             backend.endpoint.cell == first.cell));
  }

  // Calls choose() up to kMaxChoices times, then searches all backends for an allowed one.
  std::optional<EndpointId> pick(const RequestState& state) {
    if (up_.empty() || !admits(state.request)) {
      return std::nullopt;
    }
    const auto is_allowed = [&](EndpointId id) {
      return may_repeat_at(state, backends_[id]) && has_capacity(backends_[id]);
    };
    for (int i = 0; i < kMaxChoices; ++i) {
      const EndpointId id = up_[choose()];
      if (is_allowed(id)) {
        return id;
      }
    }
    const std::size_t from = random_.below(up_.size());
    for (std::size_t i = 0; i < up_.size(); ++i) {
      const EndpointId id = up_[(from + i) % up_.size()];
      if (is_allowed(id)) {
        return id;
      }
    }
    return std::nullopt;
  }

  bool start_attempt(RequestState& state) {
    const auto id = pick(state);
    if (!id) {
      return false;
    }
    KnownBackend& backend = backends_[*id];
    backend.outstanding += 1;
    if (is_cold(backend)) {
      backend.credit -= 1;
    }
    state.endpoints.push_back(*id);
    state.sent_at.push_back(now_);
    state.open_attempts += 1;
    actions_->push_back(StartAttempt{state.request.id, *id});
    return true;
  }

  void on(const Request& request) {
    const double elapsed = to_s(now_ - rate_updated_at_);
    rate_ = rate_ * std::exp(-elapsed / kRateWindowS) + 1.0 / kRateWindowS;
    rate_updated_at_ = now_;
    RequestState& state = requests_[request.id];
    state.request = request;
    if (!start_attempt(state)) {
      give_up(state);
    }
    remove_if_done(request.id);
  }

  void on(const Outcome& outcome) {
    const auto it = requests_.find(outcome.id);
    if (it == requests_.end()) {
      return;
    }
    RequestState& state = it->second;
    record_result(state, outcome);
    state.answered = state.answered || outcome.is_final || outcome.result == Result::kOk;
    if (!state.answered && state.open_attempts == 0) {
      const bool may_retry =
          state.endpoints.size() < settings_.max_attempts && now_ < state.request.deadline;
      if (!may_retry || !start_attempt(state)) {
        give_up(state);
      }
    }
    remove_if_done(outcome.id);
  }

  void record_result(RequestState& state, const Outcome& outcome) {
    KnownBackend& backend = backends_[state.endpoints[outcome.attempt]];
    backend.outstanding -= backend.outstanding > 0;
    const LoadReport& report = outcome.report;
    if (report.requests_per_s && report.utilization) {
      backend.rates += *report.requests_per_s - kReportDecay * backend.rates;
      backend.utilisations += *report.utilization - kReportDecay * backend.utilisations;
    }
    state.open_attempts -= 1;
    if (!state.may_have_run && !was_never_executed(outcome.result)) {
      state.may_have_run = outcome.attempt;
    }
  }

  void on(const ClientDisconnected& event) {
    const auto it = requests_.find(event.id);
    if (it == requests_.end()) {
      return;
    }
    it->second.answered = true;
    remove_if_done(event.id);
  }

  void give_up(RequestState& state) {
    const ClassSettings& settings = settings_.classes[state.request.class_id];
    const bool retry_is_harmless = !state.may_have_run ||
                                   settings.idempotency == Idempotency::kIdempotent ||
                                   (settings.idempotency == Idempotency::kIdempotencyKey &&
                                    settings.deduplication_scope == DeduplicationScope::kAll);
    state.answered = true;
    const RequestId id = state.request.id;
    actions_->push_back(retry_is_harmless ? Action(Reject{id, Duration{0}}) : Action(Fail{id}));
  }

  void remove_if_done(RequestId id) {
    const auto it = requests_.find(id);
    if (it != requests_.end() && it->second.answered && it->second.open_attempts == 0) {
      requests_.erase(it);
    }
  }

  Settings settings_;
  Stream random_;
  Time now_{0};
  // Estimated requests per second, and the time of the last update.
  double rate_ = 0;
  Time rate_updated_at_{0};
  std::vector<Action>* actions_ = nullptr;
  std::vector<KnownBackend> backends_;
  std::vector<EndpointId> up_;
  // Only used for look-ups and never iterated, because the order of a hash table must not affect a
  // run.
  std::unordered_map<RequestId, RequestState> requests_;
};

class RandomPolicy : public BaselinePolicy {
 public:
  using BaselinePolicy::BaselinePolicy;
  std::size_t choose() override { return random().below(up().size()); }
};

class RoundRobin : public BaselinePolicy {
 public:
  explicit RoundRobin(const Settings& settings)
      : BaselinePolicy(settings), next_(random().below(1 << 20)) {}
  std::size_t choose() override { return next_++ % up().size(); }

 private:
  // Starts at a random position, so that the proxies do not send to the same backends at the same
  // time.
  std::size_t next_;
};

class TwoChoices : public BaselinePolicy {
 public:
  using BaselinePolicy::BaselinePolicy;
  std::size_t choose() override {
    const std::size_t a = random().below(up().size());
    const std::size_t b = random().below(up().size());
    return known_backend(b).outstanding < known_backend(a).outstanding ? b : a;
  }
};

class LeastOutstanding : public BaselinePolicy {
 public:
  using BaselinePolicy::BaselinePolicy;
  std::size_t choose() override {
    // Starts at a random backend, so that ties are broken at random.
    const std::size_t from = random().below(up().size());
    std::size_t best = from;
    for (std::size_t i = 1; i < up().size(); ++i) {
      const std::size_t at = (from + i) % up().size();
      if (known_backend(at).outstanding < known_backend(best).outstanding) {
        best = at;
      }
    }
    return best;
  }
};

// Chooses at random, with weights in proportion to reported rate over reported utilisation.
class Weighted : public BaselinePolicy {
 public:
  using BaselinePolicy::BaselinePolicy;
  // Minimum weight of a backend, relative to the mean weight.
  static constexpr double kMinWeight = 0.1;
  std::size_t choose() override {
    double rates = 0;
    double utilisations = 0;
    for (std::size_t i = 0; i < up().size(); ++i) {
      rates += known_backend(i).rates;
      utilisations += known_backend(i).utilisations;
    }
    const double mean = utilisations > 0 && rates > 0 ? rates / utilisations : 1;
    const auto weight = [&](const KnownBackend& backend) {
      return std::max(kMinWeight * mean, (backend.rates + mean) / (backend.utilisations + 1));
    };
    double sum = 0;
    for (std::size_t i = 0; i < up().size(); ++i) {
      sum += weight(known_backend(i));
    }
    double left = random().uniform() * sum;
    for (std::size_t i = 0; i < up().size(); ++i) {
      left -= weight(known_backend(i));
      if (left < 0) {
        return i;
      }
    }
    return up().size() - 1;
  }
};

// Chooses the backend with the shortest true wait. Its results serve as an upper bound for those of
// the other policies.
class Oracle : public BaselinePolicy {
 public:
  Oracle(const Settings& settings, const TrueBackendState& true_state)
      : BaselinePolicy(settings), true_state_(true_state) {
    for (const ClassSettings& request_class : settings.classes) {
      max_weight_ = std::max(max_weight_, request_class.priority_weight);
    }
  }

  // Rejects a request at the first tier if it would wait longer than a share of its latency
  // objective. The share grows with the priority weight of the request's class.
  bool admits(const Request& request) override {
    if (settings().tier > 0) {
      return true;
    }
    const ClassSettings& request_class = settings().classes[request.class_id];
    const double wait = true_state_.wait_s(now(), 0, up()[choose()]);
    const double share = 0.25 + 0.5 * request_class.priority_weight / max_weight_;
    return wait <= to_s(request_class.latency_objective) * share;
  }

  bool has_capacity(KnownBackend& backend) override {
    return true_state_.has_headroom(now(), settings().tier, backend.endpoint.id);
  }

  std::size_t choose() override {
    const std::uint32_t tier = settings().tier;
    const std::size_t from = random().below(up().size());
    std::size_t best = from;
    double min_wait = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < up().size(); ++i) {
      const std::size_t at = (from + i) % up().size();
      if (!true_state_.has_headroom(now(), tier, up()[at])) {
        continue;
      }
      const double wait = true_state_.wait_s(now(), tier, up()[at]);
      if (wait < min_wait) {
        min_wait = wait;
        best = at;
      }
    }
    return best;
  }

 private:
  const TrueBackendState& true_state_;
  // Not 0, to avoid a division by 0 if all priority weights are 0.
  double max_weight_ = 1e-9;
};

}  // namespace

const std::vector<std::string>& policy_names() {
  static const std::vector<std::string> kNames{
      "module", "random", "round_robin", "two_choices", "least_outstanding", "weighted", "oracle"};
  return kNames;
}

std::unique_ptr<Policy> make_policy(const std::string& name, Time now, const Settings& settings,
                                    const TrueBackendState& true_state,
                                    std::vector<Action>& actions) {
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
    return std::make_unique<Oracle>(settings, true_state);
  }
  return nullptr;
}

}  // namespace beechhill::emulator
