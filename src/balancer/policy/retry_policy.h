// Decides whether and where a request is sent again, and its answer if no attempt succeeds.
#pragma once

#include "balancer/state/endpoint_state.h"
#include "balancer/state/latency_tracker.h"
#include "balancer/state/random_source.h"
#include "balancer/state/request_state.h"
#include "beechhill/actions.h"

namespace beechhill {

enum class RetryDecision { kRequeue, kRetryNow, kGiveUp };

/// Decides on retries and owns the retry budget. Each operation is O(1).
class RetryPolicy {
 public:
  RetryPolicy(const Settings& settings, const LatencyTracker& latencies, RandomSource& random)
      : settings_(settings), latencies_(latencies), random_(random) {}

  /// Returns whether `result` shows that the attempt had no effect.
  static bool never_ran(Result result);
  /// Decides whether a request is sent again after an unsuccessful attempt with `outcome`.
  RetryDecision decide(const RequestState& state, const Outcome& outcome, Time now) const;
  /// Returns whether repeating the request is safe on every endpoint.
  bool safe_anywhere(const RequestState& state) const;
  /// Returns whether repeating the request on `record` is safe for an attempt that starts at `now`.
  bool safe_on(const RequestState& state, const EndpointRecord& record, Time now) const;
  /// Returns how long an endpoint receives no attempts after it rejected one as overloaded.
  Duration overload_backoff() const { return from_seconds(latencies_.typical_s()); }
  /// Returns Reject if the client may safely retry the request, else Fail.
  Action final_answer(const RequestState& state);

  void add_budget();    // must be called when an attempt starts
  void spend_budget();  // must be called when a retry starts

 private:
  const ClassSettings& class_of(const RequestState& state) const {
    return settings_.classes[state.request.class_id];
  }

  const Settings& settings_;
  const LatencyTracker& latencies_;
  RandomSource& random_;
  double budget_ = 3;  // number of retries
};

}  // namespace beechhill
