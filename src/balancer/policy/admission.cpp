#include "balancer/policy/admission.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <ratio>
#include <set>

namespace beechhill {
namespace {

// Maximum number of requests in a queue. The queue deadline usually takes effect first.
constexpr std::size_t kMaxQueueLength = 64;
// Divisors of the latency objective that give the longest wait at the first tier, and the shortest
// wait that any tier allows.
constexpr int kMaxWaitDivisor = 2;
constexpr int kMinWaitDivisor = 10;
// Maximum share of the time until its deadline that a request may wait at the first tier.
using MaxWaitShare = std::ratio<9, 20>;
// Sum of all levels' assured shares. Together they are assured half of the concurrency limit.
constexpr double kAssuredShares = 100;
// Minimum burst that a quota allows, in requests.
constexpr double kMinQuotaBurst = 4;

}  // namespace

// No class is exempt from the limit, as any class can cause an overload.
Admission::Admission(const Settings& settings, const LatencyTracker& latencies,
                     const ConcurrencyLimit& limit, FairQueues& queues, Time now)
    : settings_(settings),
      latencies_(latencies),
      limit_(limit),
      queues_(queues),
      quotas_(settings.tenants.size(), {kUnlimited, now}) {
  std::set<double, std::greater<>> priorities;
  for (ClassId id = 0; id < settings.classes.size(); ++id) {
    priorities.insert({priority(id, false), priority(id, true)});
  }
  double sum = 0;
  for (const double weight : priorities) {
    sum += weight;
  }
  for (const double weight : priorities) {
    queues_.add_level(weight, sum > 0 ? kAssuredShares * weight / sum : 0);
  }
}

double Admission::priority(ClassId class_id, bool over_quota) const {
  return settings_.classes[class_id].priority_weight *
         (over_quota ? settings_.over_quota_priority_factor : 1);
}

// Only the first tier checks quotas. The burst allows for random peaks within a quota.
bool Admission::over_quota(TenantId tenant, Time now) {
  if (settings_.tier != 0 || tenant >= quotas_.size() ||
      settings_.tenants[tenant].quota_per_s <= 0) {
    return false;
  }
  const double rate_per_s = settings_.tenants[tenant].quota_per_s / settings_.replicas;
  quotas_[tenant].fill(now, rate_per_s, kMinQuotaBurst + 2 * rate_per_s);
  return !quotas_[tenant].take();
}

void Admission::classify(RequestState& state, Time now) {
  const Request& request = state.request;
  const double weight = priority(request.class_id, over_quota(request.tenant, now));
  while (queues_.levels()[state.level].weight > weight) {
    ++state.level;
  }
  const Idempotency idempotency = settings_.classes[request.class_id].idempotency;
  state.width = idempotency == Idempotency::kIdempotent ? 1 : 2;
  state.queue_deadline = queue_deadline(request, now);
}

// Bounds the wait so that an answer is still timely. The bound is lower at the first tier, as a
// client rejected early can retry; in lower tiers a rejection wastes the work of those above.
Time Admission::queue_deadline(const Request& request, Time now) const {
  const ClassSettings& settings = settings_.classes[request.class_id];
  const Duration objective = latency_objective(settings, request);
  const bool first_tier = settings_.tier == 0;
  const bool late_counts = !first_tier && settings.late_priority_factor > 0;
  const Time useful_until = late_counts ? request.deadline : now + objective;
  const Duration max_wait = first_tier ? objective / kMaxWaitDivisor : settings.deadline;
  const Time latest = request.deadline - settings_.time_step;
  const Duration slow = from_seconds(latencies_.slow_s(request.class_id));
  Time deadline = std::min({now + max_wait, useful_until - slow, latest});
  deadline = std::max(deadline, std::min(now + objective / kMinWaitDivisor, latest));
  // Clients need time to retry, and their deadlines are often shorter than that of their class.
  return first_tier ? std::min(deadline, now + (request.deadline - now) * MaxWaitShare::num /
                                                   MaxWaitShare::den)
                    : deadline;
}

bool Admission::enqueue(RequestState& state, Time now) {
  const FairQueue& queue = queues_.assign_queue(state);
  if (queue.waiting.size() >= kMaxQueueLength || state.request.deadline <= now) {
    return false;
  }
  queues_.push(state);
  return true;
}

// Returns the highest non-empty level below its assured share, else the highest non-empty one.
PriorityLevel* Admission::next_level() {
  PriorityLevel* highest = nullptr;
  for (PriorityLevel& level : queues_.levels()) {
    if (level.waiting == 0) {
      continue;
    }
    if (level.running < std::ceil(limit_.value() * level.assured_share / (2 * kAssuredShares))) {
      return &level;
    }
    highest = highest != nullptr ? highest : &level;
  }
  return highest;
}

RequestState* Admission::next(RequestTable& requests) {
  const PriorityLevel* level = next_level();
  if (level == nullptr) {
    return nullptr;
  }
  RequestState& state = requests.at(level->earliest_head());
  return limit_.fits(state.width) ? &state : nullptr;  // smaller requests must wait as well
}

}  // namespace beechhill
