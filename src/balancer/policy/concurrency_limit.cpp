#include "balancer/policy/concurrency_limit.h"

#include <algorithm>

namespace beechhill {
namespace {

// An answer that takes longer counts as late in part.
constexpr double kLateShare = 0.5;
// Widths taken off by an outcome that was not in time, and added by one that was: 1 in 11 may be
// late.
constexpr double kDecrease = 2;
constexpr double kIncrease = 0.2;
// Of a class's slow answers, after which a request is silent; see docs/design.md.
constexpr double kSilentFactor = 1.5;
// Of the limit, that silent requests may hold.
constexpr double kMaxSilentShare = 1.0 / 3;
// Over all replicas, that the limit keeps.
constexpr double kMinWidthsPerEndpoint = 4;
// Widths under which the limit moves by parts of itself.
constexpr double kSmallLimit = 10;

}  // namespace

// Guards against a limit full of requests that nobody will answer, where deadlines are far off.
double ConcurrencyLimit::counted_widths() const {
  return in_flight_.running - std::max(0.0, in_flight_.silent - kMaxSilentShare * limit_);
}

// A limit under one request cannot bind: what ran over it is made up for before the next.
bool ConcurrencyLimit::fits(int width) const {
  const double counted = counted_widths();
  return counted + width <= limit_ || (counted < limit_ && overrun_ <= 0);
}

void ConcurrencyLimit::advance(double elapsed_s) {
  overrun_ = std::max(0.0, overrun_ + elapsed_s * (counted_widths() - limit_));
}

Time ConcurrencyLimit::silent_at(const RequestState& state) const {
  const double slow_s = latencies_.slow_s(state.request.class_id);
  const double expected_s = slow_s > 0 ? slow_s : seconds(objective(state));
  return state.attempts.back().started_at + from_seconds(kSilentFactor * expected_s);
}

// Late answers lower the limit at the first tier only: what waits below holds a slot above, so load
// is shed at the top. In parts, as a long tail must not close the limit.
void ConcurrencyLimit::adjust(const RequestState& state, Result result, double latency_s,
                              double latency_penalty, double up_count) {
  const bool ok = result == Result::kOk;
  const double busy =
      std::max<double>(in_flight_.running + state.width, in_flight_.usual_widths(state.width));
  const double late_share = (latency_s / seconds(objective(state)) - kLateShare) / (1 - kLateShare);
  if (result == Result::kOverloaded || result == Result::kTimeout ||
      (settings_.tier == 0 && ok && late_share > 0)) {
    limit_ = std::min(limit_, busy);
    const double lateness = ok ? std::min(1.0, late_share) : 1;
    // An outlier's own lateness costs it traffic instead. Not all of it: where many endpoints are
    // slow, the limit must not stay open.
    limit_ -= kDecrease * lateness * state.width * step() / (latency_penalty * latency_penalty);
  } else if (ok && limit_ < busy) {
    limit_ += kIncrease * state.width * step();
  }
  limit_ = std::max(limit_, kMinWidthsPerEndpoint * up_count / settings_.replicas);
}

// Whole widths would swing a small limit between nothing and twice its size.
double ConcurrencyLimit::step() const {
  return std::min(1.0, limit_ / kSmallLimit);
}

}  // namespace beechhill
