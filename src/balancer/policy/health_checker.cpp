#include "balancer/policy/health_checker.h"

#include <tuple>

namespace beechhill {
namespace {

// Maximum cost of health checks, as a share of the cost of all attempts.
constexpr double kMaxCostShare = 0.006;
// Maximum of the health-check budget, in checks.
constexpr double kMaxBudget = 10;
// Sum of an instance type's reported utilization above which its weight counts as known.
constexpr double kSufficientUtilization = 1;
// Minimum mean time between checks of one endpoint.
constexpr Duration kMeanInterval{3'000'000};

}  // namespace

void HealthChecker::add_budget() {
  const double cost = settings_.health_check_cost;
  const double earned = cost > 0 ? kMaxCostShare / cost / settings_.tier_count : kMaxBudget;
  budget_ = std::min(kMaxBudget, budget_ + earned);
}

// Prefers instance types of unknown weight, and then the endpoint checked the longest time ago.
std::optional<EndpointId> HealthChecker::select(Time now) {
  EndpointRecord* first = nullptr;
  const auto order = [this](const EndpointRecord& record) {
    const bool known = statistics_.type_utilization_sum(record) > kSufficientUtilization;
    return std::tuple(known, record.health_checked_at, record.rank);
  };
  const auto consider = [&](EndpointRecord& record) {
    if (first == nullptr || order(record) < order(*first)) {
      first = &record;
    }
  };
  endpoints_.visit_candidates(endpoints_.up_count(), consider);
  if (first == nullptr || budget_ < 1) {
    return std::nullopt;
  }
  budget_ -= 1;
  first->health_checked_at = now;
  return first->entry.id;
}

Duration HealthChecker::interval(double random) const {
  return from_seconds((0.5 + random) * seconds(kMeanInterval) /
                      static_cast<double>(endpoints_.positive_up_count()));
}

}  // namespace beechhill
