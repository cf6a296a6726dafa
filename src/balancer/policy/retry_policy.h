// Retries: whether a request may be sent again, where to, and its final answer without success.
#pragma once

#include "balancer/state/endpoint_state.h"
#include "balancer/state/latency_tracker.h"
#include "balancer/state/random_source.h"
#include "balancer/state/request_state.h"
#include "beechhill/actions.h"

namespace beechhill {

enum class RetryDecision { kRequeue, kRetryNow, kGiveUp };

/// Holds the budget of retries. Each operation is O(1).
class RetryPolicy {
 public:
  RetryPolicy(const Settings& settings, const LatencyTracker& latencies, RandomSource& random)
      : settings_(settings), latencies_(latencies), random_(random) {}

  /// Whether a result shows that the attempt took no effect.
  static bool never_ran(Result result);
  /// What follows an attempt that ended with `outcome` and without success.
  RetryDecision decide(const RequestState& state, const Outcome& outcome, Time now) const;
  /// Whether repeating the request is safe on every endpoint.
  bool safe_anywhere(const RequestState& state) const;
  /// Whether it is safe on `record`, for an attempt that starts at `now`.
  bool safe_on(const RequestState& state, const EndpointRecord& record, Time now) const;
  /// How long an endpoint that has refused an attempt as overloaded gets nothing new.
  Duration overload_backoff() const { return from_seconds(latencies_.typical_s()); }
  /// Rejects where the client may safely retry, else reports failure.
  Action final_answer(const RequestState& state);

  void add_budget();   // an attempt starts
  void take_budget();  // a retry starts

 private:
  const ClassSettings& class_of(const RequestState& state) const {
    return settings_.classes[state.request.class_id];
  }

  const Settings& settings_;
  const LatencyTracker& latencies_;
  RandomSource& random_;
  double budget_ = 3;  // retries
};

}  // namespace beechhill
