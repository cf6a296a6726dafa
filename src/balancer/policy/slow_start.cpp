#include "balancer/policy/slow_start.h"

namespace beechhill {
namespace {

// Minimum rate of attempts per second to an endpoint, over all replicas. Without a minimum, an
// endpoint would receive nothing while there is little traffic.
constexpr double kMinAttemptsPerS = 1;
// The allowed load is at most the collapse ratio over this, times an even share of the traffic.
constexpr double kSafetyFactor = 1.5;

}  // namespace

bool SlowStart::warming_up(const EndpointRecord& record, Time now) const {
  const std::optional<Time> since = record.serving_since();
  return since && now < *since + settings_.slow_start_window;
}

double SlowStart::capacity_share(const EndpointRecord& record, Time now) const {
  const std::optional<Time> since = record.serving_since();
  if (!since || !warming_up(record, now)) {
    return 1;
  }
  const double age_s = std::max(0.0, seconds(now - *since));
  const double initial = settings_.slow_start_initial_weight;
  return initial + (1 - initial) * age_s / seconds(settings_.slow_start_window);
}

// Keeps endpoints from collapse while they warm up: each replica sends one at most the fraction
// capacity_share() of what it sends a warm peer, so the total stays below a warm peer's. As few
// warm peers may be overloaded, the bound is also two thirds of the collapse ratio times an even
// share.
bool SlowStart::has_budget(EndpointRecord& record, const Traffic& traffic, Time now) const {
  if (!warming_up(record, now)) {
    return true;
  }
  const double peers =
      traffic.up_count * kSafetyFactor / std::max(kSafetyFactor, settings_.overload_collapse_ratio);
  const double share = capacity_share(record, now) * traffic.attempts_per_s /
                       std::max<double>(traffic.warm_count, peers);
  record.slow_start_budget.fill(now, std::max(share, kMinAttemptsPerS / settings_.replicas), 1);
  return record.slow_start_budget.tokens >= 1;
}

}  // namespace beechhill
