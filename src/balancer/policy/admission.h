// Admission: assigns requests to priority levels and queues, limits how long they wait, and selects
// the next one to send. Based on "Priority and Fairness for API Server Requests" (KEP-1040).
#pragma once

#include "balancer/policy/concurrency_limit.h"
#include "balancer/state/fair_queues.h"
#include "balancer/state/token_bucket.h"

namespace beechhill {

/// The admission policy. Keeps references to its arguments. O(levels), but next() is O(queues).
class Admission {
 public:
  /// Adds a level to `queues` for each distinct priority.
  Admission(const Settings& settings, const LatencyTracker& latencies,
            const ConcurrencyLimit& limit, FairQueues& queues, Time now);

  /// Sets level, width and queue deadline of `state`. Must be called once, as it uses up quota.
  void classify(RequestState& state, Time now);
  /// Queues the request, or returns false if its queue is full or its deadline has passed.
  bool enqueue(RequestState& state, Time now);
  /// Returns the next request to send, or null if none waits or the limit does not allow it.
  RequestState* next(RequestTable& requests);

 private:
  double priority(ClassId class_id, bool over_quota) const;
  bool over_quota(TenantId tenant, Time now);
  Time queue_deadline(const Request& request, Time now) const;
  PriorityLevel* next_level();

  const Settings& settings_;
  const LatencyTracker& latencies_;
  const ConcurrencyLimit& limit_;
  FairQueues& queues_;
  std::vector<TokenBucket> quotas_;  // indexed by TenantId
};

}  // namespace beechhill
