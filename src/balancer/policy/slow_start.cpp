#include "balancer/policy/slow_start.h"

namespace beechhill {
namespace {

// Minimum of the attempts per second that all replicas together may send to an endpoint. Without
// it, an endpoint would receive nothing while there is little traffic.
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

// Prevents a collapse: each replica sends an endpoint in slow start at most capacity_share() of
// what it sends a warm endpoint. A few warm endpoints may themselves be overloaded, so the limit is
// also capacity_share() times an even share of the traffic, or overload_collapse_ratio /
// kSafetyFactor even shares if that is more.
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
