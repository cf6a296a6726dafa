// Tests the load that all replicas together send to an endpoint in slow start, counted at the
// endpoint. Within the collapse window an endpoint may receive the N requests that the settings
// allow, and at most 2 * sqrt(N) + 2 more by chance, for any number of replicas.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <tuple>

#include "beechhill/balancer.h"

namespace beechhill::test {
namespace {

constexpr double kLoad = 0.75;  // traffic as a fraction of the fleet's capacity
constexpr double kInitialWeight = 0.2;
constexpr double kSlowStartWindowS = 12;
constexpr EndpointId kEndpoints = 20;
constexpr Time kRestartAt{6'000'000};

// The simulated deployment and its faults.
struct Fleet {
  int replicas = 1;
  double rate_per_s = 15;     // capacity of a warm endpoint in requests per second
  double collapse_ratio = 3;  // load over capacity at which an endpoint in slow start collapses
  double window_s = 3;        // how long the overload must last for a collapse
  EndpointId restarted = 1;   // number of endpoints that restart
  double first_replica_weight = 1;  // traffic of the first replica relative to the others
  double new_replicas = 0;          // fraction of replicas that start when the endpoints restart
  double burst = 1;                 // load factor from 2 s to 5 s after the restart
  double error_rate = 0;            // fraction of the responses that are errors
  double overloaded_rate = 0;  // fraction of restarted endpoints' responses that are rejections
};

Duration from_seconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

// Simulates the balancers of all replicas, their clients, and a restart of some endpoints.
class FleetRun {
 public:
  FleetRun(const Fleet& fleet, std::uint64_t seed)
      : fleet_(fleet),
        random_(seed),
        balancers_(static_cast<std::size_t>(fleet_.replicas)),
        attempt_counts_(balancers_.size()) {
    settings_.replicas = static_cast<std::uint32_t>(fleet_.replicas);
    settings_.classes.resize(1);
    settings_.classes[0].idempotency = Idempotency::kIdempotent;
    settings_.classes[0].latency_objective = std::chrono::seconds(1);
    settings_.classes[0].deadline = std::chrono::seconds(3);
    settings_.slow_start_window = from_seconds(kSlowStartWindowS);
    settings_.slow_start_initial_weight = kInitialWeight;
    settings_.overload_collapse_ratio = fleet_.collapse_ratio;
    settings_.overload_collapse_delay = from_seconds(fleet_.window_s);
    settings_.max_attempts = 4;
    settings_.cancellation_allowed = true;
    for (std::size_t replica = 0; replica < balancers_.size(); ++replica) {
      traffic_weights_.push_back((0.5 + uniform()) *
                                 (replica == 0 ? fleet_.first_replica_weight : 1));
    }
  }

  // Runs the simulation. Returns the maximum of (attempts - N) / (2 * sqrt(N) + 2) of a restarted
  // endpoint, where N is the number of requests that the settings allow within the collapse window.
  double worst_excess() {
    for (std::size_t replica = 0; replica < balancers_.size(); ++replica) {
      start(replica, false);
      schedule_arrival(replica);
    }
    schedule(kRestartAt, [this] {
      for (std::size_t replica = 0; replica < balancers_.size(); ++replica) {
        if (uniform() < fleet_.new_replicas) {
          start(replica, true);
        } else {
          send_endpoints(replica, true);
        }
      }
    });
    while (!events_.empty() && events_.top().at < kRestartAt + settings_.slow_start_window) {
      const ScheduledTask next = events_.top();
      events_.pop();
      now_ = std::max(now_, next.at);
      next.task();
    }
    return worst_excess_;
  }

 private:
  struct ScheduledTask {
    Time at;
    std::uint64_t order;
    std::function<void()> task;
    bool operator<(const ScheduledTask& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
  void schedule(Time when, std::function<void()> task) {
    events_.push({when, ++order_, std::move(task)});
  }

  void start(std::size_t replica, bool after_restart) {
    Settings settings = settings_;
    settings.seed = random_();
    std::vector<Action> actions;
    attempt_counts_[replica].clear();
    balancers_[replica] = std::make_unique<Balancer>(now_, settings, actions);
    carry_out(replica, actions);
    send_endpoints(replica, after_restart);
  }
  void send_endpoints(std::size_t replica, bool after_restart) {
    EndpointUpdate update;
    for (EndpointId id = 0; id < kEndpoints; ++id) {
      Endpoint endpoint;
      endpoint.id = id;
      if (after_restart && id < fleet_.restarted) {
        endpoint.started_at = kRestartAt;
      }
      update.endpoints.push_back(endpoint);
    }
    handle(replica, update);
  }
  void schedule_arrival(std::size_t replica) {
    double total = 0;
    for (double weight : traffic_weights_) {
      total += weight;
    }
    const bool in_burst =
        now_ > kRestartAt + std::chrono::seconds(2) && now_ < kRestartAt + std::chrono::seconds(5);
    const double rate = fleet_.rate_per_s * kEndpoints * kLoad * traffic_weights_[replica] / total *
                        (in_burst ? fleet_.burst : 1);
    schedule(now_ + from_seconds(-std::log(1 - uniform()) / rate), [this, replica] {
      Request request;
      request.id = ++next_id_;
      request.deadline = now_ + settings_.classes[0].deadline;
      handle(replica, request);
      schedule_arrival(replica);
    });
  }
  void handle(std::size_t replica, const Event& event) {
    std::vector<Action> actions;
    balancers_[replica]->handle(now_, event, actions);
    carry_out(replica, actions);
  }
  void carry_out(std::size_t replica, const std::vector<Action>& actions) {
    const Balancer* const incarnation = balancers_[replica].get();
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        schedule(timer->at, [this, replica, incarnation, token = timer->token] {
          if (balancers_[replica].get() == incarnation) {
            handle(replica, Timer{token});
          }
        });
      }
      const auto* attempt = std::get_if<StartAttempt>(&action);
      if (attempt == nullptr) {
        continue;
      }
      const bool restarted = attempt->endpoint < fleet_.restarted && now_ >= kRestartAt;
      if (restarted) {
        count_attempt(attempt->endpoint);
      }
      const Result result = uniform() < fleet_.error_rate                     ? Result::kError
                            : restarted && uniform() < fleet_.overloaded_rate ? Result::kOverloaded
                                                                              : Result::kOk;
      const Outcome outcome{
          attempt->id, attempt_counts_[replica][attempt->id]++, result, result == Result::kOk, {}};
      schedule(now_ + from_seconds(result == Result::kOk ? 0.05 + 0.1 * uniform() : 0.005),
               [this, replica, incarnation, outcome] {
                 if (balancers_[replica].get() == incarnation) {
                   handle(replica, outcome);
                 }
               });
    }
  }
  void count_attempt(EndpointId endpoint) {
    std::deque<Time>& recent = recent_attempts_[endpoint];
    recent.push_back(now_);
    while (recent.front() + settings_.overload_collapse_delay < now_) {
      recent.pop_front();
    }
    const double age = std::chrono::duration<double>(now_ - kRestartAt).count();
    const double allowed = fleet_.collapse_ratio *
                           (kInitialWeight + (1 - kInitialWeight) * age / kSlowStartWindowS) *
                           fleet_.rate_per_s * fleet_.window_s;
    worst_excess_ = std::max(worst_excess_, (static_cast<double>(recent.size()) - allowed) /
                                                (2 * std::sqrt(allowed) + 2));
  }

  Fleet fleet_;
  std::mt19937_64 random_;
  Settings settings_;
  std::vector<std::unique_ptr<Balancer>> balancers_;
  std::vector<std::map<RequestId, std::uint32_t>> attempt_counts_;
  std::vector<double> traffic_weights_;
  std::priority_queue<ScheduledTask> events_;
  std::uint64_t order_ = 0;
  RequestId next_id_ = 0;
  Time now_{0};
  std::map<EndpointId, std::deque<Time>> recent_attempts_;
  double worst_excess_ = -1e9;
};

// The parameter is the number of replicas.
class SlowStartFleet : public testing::TestWithParam<int> {};

TEST_P(SlowStartFleet, StaysUnderTheCollapseRatio) {
  std::uint64_t seed = 0;
  for (const double rate_per_s : {4.0, 15.0}) {
    for (const EndpointId restarted : {EndpointId{1}, EndpointId{12}}) {
      for (const auto& [ratio, window_s] : {std::pair{3.0, 3.0}, std::pair{2.0, 1.5}}) {
        Fleet fleet;
        fleet.replicas = GetParam();
        fleet.rate_per_s = rate_per_s;
        fleet.restarted = restarted;
        fleet.collapse_ratio = ratio;
        fleet.window_s = window_s;
        const auto expect_no_collapse = [&](const char* scenario) {
          EXPECT_LE(FleetRun(fleet, ++seed).worst_excess(), 1)
              << scenario << ": rate " << rate_per_s << ", restarted " << restarted << ", ratio "
              << ratio;
        };
        fleet.first_replica_weight = 8;
        expect_no_collapse("one replica gets eight times the traffic of others");
        fleet.new_replicas = 0.5;
        fleet.first_replica_weight = 1;
        expect_no_collapse("half of the replicas start with the endpoints");
        fleet.burst = 1.5;
        fleet.error_rate = 0.1;
        fleet.overloaded_rate = 0.3;
        expect_no_collapse("a burst, errors, and restarted endpoints that reject requests");
      }
    }
  }
}
INSTANTIATE_TEST_SUITE_P(Replicas, SlowStartFleet, testing::Values(1, 5, 30, 300));

}  // namespace
}  // namespace beechhill::test
