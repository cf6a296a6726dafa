#include "balancer/policy/retry_policy.h"

#include <algorithm>

namespace beechhill {
namespace {

// Number of retries that each attempt adds to the budget for requests that may have taken effect.
constexpr double kRetriesPerAttempt = 0.1;
// Maximum of the budget, in retries.
constexpr double kMaxBudget = 10;
// Divisor of the longest retry delay that clients honour; gives the mean delay that is advised.
constexpr int kRetryAfterDivisor = 5;

}  // namespace

bool RetryPolicy::never_ran(Result result) {
  return result == Result::kOverloaded || result == Result::kConnectFailed ||
         result == Result::kSkipped;
}

RetryDecision RetryPolicy::decide(const RequestState& state, const Outcome& outcome,
                                  Time now) const {
  const Duration expected = from_seconds(latencies_.average_s(state.request.class_id));
  const bool useful = !outcome.body_consumed && state.attempts.size() < settings_.max_attempts &&
                      now + expected < state.request.deadline;
  if (useful && !state.maybe_ran_at && never_ran(outcome.result) && now < state.queue_deadline) {
    return RetryDecision::kRequeue;
  }
  const bool affordable = useful && state.maybe_ran_at && budget_ >= 1;
  return affordable ? RetryDecision::kRetryNow : RetryDecision::kGiveUp;
}

bool RetryPolicy::safe_anywhere(const RequestState& state) const {
  return !state.maybe_ran_at || class_of(state).idempotency == Idempotency::kIdempotent;
}

bool RetryPolicy::safe_on(const RequestState& state, const EndpointRecord& record, Time now) const {
  if (!state.maybe_ran_at || safe_anywhere(state)) {
    return true;
  }
  const ClassSettings& settings = class_of(state);
  const Attempt& first = state.attempts[*state.maybe_ran_at];
  // The attempt may be sent up to connect_timeout from now, and must still be deduplicated then.
  if (settings.idempotency == Idempotency::kNonIdempotent ||
      now + settings_.connect_timeout >= first.started_at + settings.deduplication_window) {
    return false;
  }
  if (settings.deduplication_scope == DeduplicationScope::kAll) {
    return true;
  }
  return first.zone == record.entry.zone &&
         (settings.deduplication_scope == DeduplicationScope::kZone ||
          first.cell == record.entry.cell);
}

Action RetryPolicy::final_answer(const RequestState& state) {
  const ClassSettings& settings = class_of(state);
  const bool deduplicated = settings.idempotency == Idempotency::kIdempotencyKey &&
                            settings.deduplication_scope == DeduplicationScope::kAll;
  const double spread = 0.5 + random_.uniform();
  const double wait_s = seconds(settings_.max_retry_after) / kRetryAfterDivisor * spread;
  if (safe_anywhere(state) || deduplicated) {
    return Reject{state.request.id, from_seconds(wait_s)};
  }
  return Fail{state.request.id};
}

void RetryPolicy::add_budget() {
  budget_ = std::min(kMaxBudget, budget_ + kRetriesPerAttempt);
}

void RetryPolicy::spend_budget() {
  budget_ -= 1;
}

}  // namespace beechhill
