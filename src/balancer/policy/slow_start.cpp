#include "balancer/policy/slow_start.h"

namespace beechhill {
namespace {

// Minimum attempts per second over all replicas; else an endpoint gets nothing at little traffic.
constexpr double kMinAttemptsPerS = 1;
// Divisor of the collapse ratio; the quotient limits the load in even shares of the traffic.
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

// Limits the rate to an endpoint in slow start to capacity_share() of a warm endpoint's rate and of
// max(1, overload_collapse_ratio / kSafetyFactor) even shares of the traffic, since the warm ones
// may be few and overloaded. The limit is at least kMinAttemptsPerS over all replicas.
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
