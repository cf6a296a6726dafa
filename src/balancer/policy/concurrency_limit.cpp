#include "balancer/policy/concurrency_limit.h"

#include <algorithm>

namespace beechhill {
namespace {

// Share of the latency objective beyond which a response counts as partly late.
constexpr double kLateShare = 0.5;
// Widths removed by an outcome that was not in time, and added by one that was. The limit is stable
// when 1 outcome in 11 is late.
constexpr double kDecrease = 2;
constexpr double kIncrease = 0.2;
// An unanswered request is silent after this multiple of its class's slow_s(); see docs/design.md.
constexpr double kSilentFactor = 1.5;
// Share of the limit that silent requests may occupy.
constexpr double kMaxSilentShare = 1.0 / 3;
// Minimum of the limit, in widths per endpoint, over all replicas together.
constexpr double kMinWidthsPerEndpoint = 4;
// Limit, in widths, below which its changes are scaled down in proportion.
constexpr double kSmallLimit = 10;

}  // namespace

// Counts silent requests up to a share of the limit: with distant deadlines they could fill it.
double ConcurrencyLimit::counted_widths() const {
  return in_flight_.running - std::max(0.0, in_flight_.silent - kMaxSilentShare * limit_);
}

// If the limit is below one request, the next one waits until the overrun has decreased to 0.
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

// Late responses lower the limit at the first tier only: load is shed there, as requests waiting in
// lower tiers hold slots above. The decrease grows with lateness: a long tail must not close the
// limit.
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
    // An outlier's lateness lowers its traffic instead, so it lowers the limit less. It still
    // counts, or the limit would stay open where many endpoints are slow.
    limit_ -= kDecrease * lateness * state.width * scale() / (latency_penalty * latency_penalty);
  } else if (ok && limit_ < busy) {
    limit_ += kIncrease * state.width * scale();
  }
  limit_ = std::max(limit_, kMinWidthsPerEndpoint * up_count / settings_.replicas);
}

// Scales the changes of a small limit, which whole widths would swing between 0 and twice its size.
double ConcurrencyLimit::scale() const {
  return std::min(1.0, limit_ / kSmallLimit);
}

}  // namespace beechhill
