// Cold servers under the sum of what all instances send: past the N calls that the settings allow
// one within their window, only 2 roots of N and 2 more are chance, however many instances there
// are. By the books of the servers.
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

constexpr double kLoad = 0.75, kColdFrom = 0.2, kColdSpan = 12;  // of all there is; a part; seconds
constexpr EndpointId kServers = 20;
constexpr Time kColdAt{6'000'000};

struct Fleet {
  int instances = 1;
  double rate = 15;             // that a server can do, a second
  double multiple = 3;          // of it, at which a cold one falls
  double window = 3;            // seconds
  EndpointId cold = 1;          // of the servers
  double most = 1;              // times what another instance sees, the first does
  double restarted = 0;         // of the instances, the moment the servers are
  double burst = 1;             // for 3 s, two after it
  double errors = 0, full = 0;  // answers; of cold servers
};

Duration from_s(double s) {
  return Duration(static_cast<std::int64_t>(s * 1e6));
}

class Play {
 public:
  Play(const Fleet& fleet, std::uint64_t seed)
      : f_(fleet),
        random_(seed),
        balancers_(static_cast<std::size_t>(f_.instances)),
        tries_(balancers_.size()) {
    settings_.replicas = static_cast<std::uint32_t>(f_.instances);
    settings_.classes.resize(1);
    settings_.classes[0].idempotency = Idempotency::kIdempotent;
    settings_.classes[0].latency_objective = std::chrono::seconds(1);
    settings_.classes[0].deadline = std::chrono::seconds(3);
    settings_.slow_start_window = from_s(kColdSpan);
    settings_.slow_start_initial_weight = kColdFrom;
    settings_.overload_collapse_ratio = f_.multiple;
    settings_.overload_collapse_delay = from_s(f_.window);
    settings_.max_attempts = 4;
    settings_.cancellation_allowed = true;
    for (std::size_t i = 0; i < balancers_.size(); ++i) {
      parts_.push_back((0.5 + uniform()) * (i == 0 ? f_.most : 1));
    }
  }

  // The most that a cold server got beyond its N, over what may be chance.
  double worst() {
    for (std::size_t i = 0; i < balancers_.size(); ++i) {
      start(i, false), next_arrival(i);
    }
    at(kColdAt, [this] {
      for (std::size_t i = 0; i < balancers_.size(); ++i) {
        uniform() < f_.restarted ? start(i, true) : list(i, true);
      }
    });
    while (!events_.empty() && events_.top().at < kColdAt + settings_.slow_start_window) {
      const Happening next = events_.top();
      events_.pop();
      now_ = std::max(now_, next.at);
      next.what();
    }
    return worst_;
  }

 private:
  struct Happening {
    Time at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Happening& o) const {
      return std::tie(at, order) > std::tie(o.at, o.order);
    }
  };
  double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
  void at(Time when, std::function<void()> what) {
    events_.push({when, ++order_, std::move(what)});
  }

  void start(std::size_t i, bool cold) {
    Settings mine = settings_;
    mine.seed = random_();
    std::vector<Action> actions;
    tries_[i].clear();
    balancers_[i] = std::make_unique<Balancer>(now_, mine, actions);
    perform(i, actions);
    list(i, cold);
  }
  void list(std::size_t i, bool cold) {
    EndpointUpdate d;
    for (EndpointId id = 0; id < kServers; ++id) {
      Endpoint e;
      e.id = id;
      if (cold && id < f_.cold) {
        e.started_at = kColdAt;
      }
      d.endpoints.push_back(e);
    }
    give(i, d);
  }
  void next_arrival(std::size_t i) {
    double all = 0;
    for (double part : parts_) {
      all += part;
    }
    const bool more =
        now_ > kColdAt + std::chrono::seconds(2) && now_ < kColdAt + std::chrono::seconds(5);
    const double rate = f_.rate * kServers * kLoad * parts_[i] / all * (more ? f_.burst : 1);
    at(now_ + from_s(-std::log(1 - uniform()) / rate), [this, i] {
      Request r;
      r.id = ++next_id_;
      r.deadline = now_ + settings_.classes[0].deadline;
      give(i, r);
      next_arrival(i);
    });
  }
  void give(std::size_t i, const Event& event) {
    std::vector<Action> actions;
    balancers_[i]->handle(now_, event, actions);
    perform(i, actions);
  }
  void perform(std::size_t i, const std::vector<Action>& actions) {
    const Balancer* const life = balancers_[i].get();
    for (const Action& a : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&a)) {
        at(timer->at, [this, i, life, token = timer->token] {
          if (balancers_[i].get() == life) {
            give(i, Timer{token});
          }
        });
      }
      const auto* send = std::get_if<StartAttempt>(&a);
      if (!send) {
        continue;
      }
      const bool cold = send->endpoint < f_.cold && now_ >= kColdAt;
      if (cold) {
        press(send->endpoint);
      }
      const Result result = uniform() < f_.errors         ? Result::kError
                            : cold && uniform() < f_.full ? Result::kOverloaded
                                                          : Result::kOk;
      const Outcome outcome{send->id, tries_[i][send->id]++, result, result == Result::kOk, {}};
      at(now_ + from_s(result == Result::kOk ? 0.05 + 0.1 * uniform() : 0.005),
         [this, i, life, outcome] {
           if (balancers_[i].get() == life) {
             give(i, outcome);
           }
         });
    }
  }
  void press(EndpointId server) {
    std::deque<Time>& window = windows_[server];
    window.push_back(now_);
    while (window.front() + settings_.overload_collapse_delay < now_) {
      window.pop_front();
    }
    const double age = std::chrono::duration<double>(now_ - kColdAt).count();
    const double n =
        f_.multiple * (kColdFrom + (1 - kColdFrom) * age / kColdSpan) * f_.rate * f_.window;
    worst_ = std::max(worst_, (static_cast<double>(window.size()) - n) / (2 * std::sqrt(n) + 2));
  }

  Fleet f_;
  std::mt19937_64 random_;
  Settings settings_;
  std::vector<std::unique_ptr<Balancer>> balancers_;
  std::vector<std::map<RequestId, std::uint32_t>> tries_;
  std::vector<double> parts_;
  std::priority_queue<Happening> events_;
  std::uint64_t order_ = 0;
  RequestId next_id_ = 0;
  Time now_{0};
  std::map<EndpointId, std::deque<Time>> windows_;
  double worst_ = -1e9;
};

class Ramp : public testing::TestWithParam<int> {};  // instances

TEST_P(Ramp, HoldsForTheFleet) {
  std::uint64_t seed = 0;
  for (const double rate : {4.0, 15.0}) {
    for (const EndpointId cold : {EndpointId{1}, EndpointId{12}}) {
      for (const auto& [multiple, window] : {std::pair{3.0, 3.0}, std::pair{2.0, 1.5}}) {
        Fleet f;
        f.instances = GetParam(), f.rate = rate, f.cold = cold, f.multiple = multiple,
        f.window = window;
        const auto holds = [&](const char* what) {
          EXPECT_LE(Play(f, ++seed).worst(), 1)
              << what << ": rate " << rate << ", cold " << cold << ", multiple " << multiple;
        };
        f.most = 8;
        holds("one instance sees eight times what others do");
        f.restarted = 0.5, f.most = 1;
        holds("half of the instances start with the servers");
        f.burst = 1.5, f.errors = 0.1, f.full = 0.3;
        holds("a burst, errors, and cold servers that turn calls away");
      }
    }
  }
}
INSTANTIATE_TEST_SUITE_P(Instances, Ramp, testing::Values(1, 5, 30, 300));

}  // namespace
}  // namespace beechhill::test
