#include "balancer/policy/concurrency_limit.h"

#include <algorithm>

namespace beechhill {
namespace {

// Share of the latency objective beyond which a response counts as partly late.
constexpr double kLateShare = 0.5;
// Widths by which a late outcome lowers the limit and a timely one raises it. The limit is stable
// when 1 outcome in 11 is late.
constexpr double kDecrease = 2;
constexpr double kIncrease = 0.2;
// Multiple of slow_s() after which an unanswered attempt counts as silent; see docs/design.md.
constexpr double kSilentFactor = 1.5;
// Maximum share of the limit that silent requests can occupy.
constexpr double kMaxSilentShare = 1.0 / 3;
// Minimum of the limit, in widths per endpoint, summed over all replicas.
constexpr double kMinWidthsPerEndpoint = 4;
// Limit in widths below which its changes are reduced in proportion to it; see scale().
constexpr double kSmallLimit = 10;

}  // namespace

// Counts silent requests only up to a share of the limit, so that they cannot block all others.
double ConcurrencyLimit::counted_widths() const {
  return in_flight_.running - std::max(0.0, in_flight_.silent - kMaxSilentShare * limit_);
}

// The last request may exceed the limit if the overrun is 0, as the limit may be below one width.
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

// Late responses lower the limit only at the first tier, which sheds load, as a request that waits
// in a lower tier also counts against the limits above. The decrease grows with lateness, so that a
// long tail of slightly late responses has little effect.
void ConcurrencyLimit::adjust(const RequestState& state, Result result, double latency_s,
                              double latency_penalty, double up_count) {
  const bool ok = result == Result::kOk;
  const double busy =
      std::max<double>(in_flight_.running + state.width, in_flight_.expected_widths(state.width));
  const double late_share = (latency_s / seconds(objective(state)) - kLateShare) / (1 - kLateShare);
  if (result == Result::kOverloaded || result == Result::kTimeout ||
      (settings_.tier == 0 && ok && late_share > 0)) {
    limit_ = std::min(limit_, busy);
    const double lateness = ok ? std::min(1.0, late_share) : 1;
    // A late outlier lowers the limit less, as it also receives fewer requests. It still lowers it,
    // as otherwise the limit would stay high while many endpoints are slow.
    limit_ -= kDecrease * lateness * state.width * scale() / (latency_penalty * latency_penalty);
  } else if (ok && limit_ < busy) {
    limit_ += kIncrease * state.width * scale();
  }
  limit_ = std::max(limit_, kMinWidthsPerEndpoint * up_count / settings_.replicas);
}

// Reduces the steps of a small limit, which full steps would move between 0 and twice its value.
double ConcurrencyLimit::scale() const {
  return std::min(1.0, limit_ / kSmallLimit);
}

}  // namespace beechhill
