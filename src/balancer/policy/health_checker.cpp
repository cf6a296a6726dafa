#include "balancer/policy/health_checker.h"

#include <tuple>

namespace beechhill {
namespace {

// Of the result, that checks may cost.
constexpr double kCostShare = 0.006;
// Checks that may be saved up.
constexpr double kMaxBudget = 10;
// Utilization that a type's reports add up to once its weight is known.
constexpr double kKnownUtilization = 1;
// Between checks of one endpoint, on average, at the least.
constexpr Duration kInterval{3'000'000};

}  // namespace

void HealthChecker::add_budget() {
  const double cost = settings_.health_check_cost;
  const double earned = cost > 0 ? kCostShare / cost / settings_.tier_count : kMaxBudget;
  budget_ = std::min(kMaxBudget, budget_ + earned);
}

// An endpoint whose instance type is not known yet, and of those the one checked longest ago.
std::optional<EndpointId> HealthChecker::select(Time now) {
  EndpointRecord* first = nullptr;
  const auto order = [this](const EndpointRecord& record) {
    const bool known = statistics_.type_evidence(record) > kKnownUtilization;
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
  return from_seconds((0.5 + random) * seconds(kInterval) /
                      static_cast<double>(endpoints_.positive_up_count()));
}

}  // namespace beechhill
