#include "balancer/policy/admission.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <ratio>
#include <set>

namespace beechhill {
namespace {

// Requests beyond are rejected; the queue deadline mostly acts first.
constexpr std::size_t kMaxQueueLength = 64;
// The longest wait at the first tier is this part of the objective, and the shortest at any this
// one.
constexpr int kPatienceDivisor = 2;
constexpr int kMinPatienceDivisor = 10;
// Of the client's own time, that a request waits at the first tier at most: less than half.
using MaxWaitShare = std::ratio<9, 20>;
// Shares of the limit that levels get by weight, of twice as many: the rest stays unassured.
constexpr double kAssuredShares = 100;
// Requests that a tenant may send ahead of its quota, at the least.
constexpr double kQuotaReserve = 4;

}  // namespace

// No class is exempt from the limit: any can be the overload.
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

// Judged once, at the first tier. Chance must not mark honest traffic, hence the reserve.
bool Admission::over_quota(TenantId tenant, Time now) {
  if (settings_.tier != 0 || tenant >= quotas_.size() ||
      settings_.tenants[tenant].quota_per_s <= 0) {
    return false;
  }
  const double rate_per_s = settings_.tenants[tenant].quota_per_s / settings_.replicas;
  quotas_[tenant].fill(now, rate_per_s, kQuotaReserve + 2 * rate_per_s);
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

// Queues only what can still be answered in time. At the first tier a short while does: a client
// that is rejected early has time to retry. Below it a rejection wastes the work done above.
Time Admission::queue_deadline(const Request& request, Time now) const {
  const ClassSettings& settings = settings_.classes[request.class_id];
  const Duration objective = latency_objective(settings, request);
  const bool first_tier = settings_.tier == 0;
  const bool late_counts = !first_tier && settings.late_priority_factor > 0;
  const Time useful_until = late_counts ? request.deadline : now + objective;
  const Duration patience = first_tier ? objective / kPatienceDivisor : settings.deadline;
  const Time last_step = request.deadline - settings_.time_step;
  const Duration slow = from_seconds(latencies_.slow_s(request.class_id));
  Time deadline = std::min({now + patience, useful_until - slow, last_step});
  deadline = std::max(deadline, std::min(now + objective / kMinPatienceDivisor, last_step));
  // A client that is rejected unsent after half of its own time, often less than its class's, pays.
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

// The highest level that is under its assured concurrency; without one, the highest that waits.
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
  return limit_.fits(state.width) ? &state : nullptr;  // the head waits: nothing overtakes it
}

}  // namespace beechhill
