// Admission: which priority level and queue a request joins, how long it waits there, and which
// waiting request goes next. After "Priority and Fairness for API Server Requests" (KEP-1040).
#pragma once

#include "balancer/policy/concurrency_limit.h"
#include "balancer/state/fair_queues.h"
#include "balancer/state/token_bucket.h"

namespace beechhill {

/// Refers to what the balancer owns. classify() and enqueue() are O(levels), next() is O(queues).
class Admission {
 public:
  /// Fills `queues` with a level for each distinct priority.
  Admission(const Settings& settings, const LatencyTracker& latencies,
            const ConcurrencyLimit& limit, FairQueues& queues, Time now);

  /// Sets level, width and queue deadline. Takes from the tenant's quota, so once for each request.
  void classify(RequestState& state, Time now);
  /// Queues the request. False: it has to be rejected, as its queue is full or its time is over.
  bool enqueue(RequestState& state, Time now);
  /// The next request to send; null where none waits, or where it has to wait for the limit.
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
  std::vector<TokenBucket> quotas_;  // by tenant
};

}  // namespace beechhill
