// Checks settings against their bounds. Error messages name settings as the configuration file
// does.
#include "beechhill/settings.h"

#include <stdexcept>

namespace beechhill {
namespace {

void require(bool condition, const char* message) {
  if (!condition) {
    throw std::invalid_argument(message);
  }
}

}  // namespace

void validate(const Settings& settings) {
  require(!settings.classes.empty(), "classes: none given; at least 1 is required");
  for (const auto& class_settings : settings.classes) {
    require(class_settings.latency_objective > Duration{0}, "classes.aim: must be above 0");
    require(class_settings.deadline >= class_settings.latency_objective,
            "classes.deadline: must not be under classes.aim");
    require(class_settings.priority_weight >= 0, "classes.worth: must not be negative");
    require(class_settings.late_priority_factor >= 0 && class_settings.late_priority_factor <= 1,
            "classes.late_worth: must be in [0, 1]");
    require(class_settings.deduplication_window >= Duration{0},
            "classes.memory_span: must not be negative");
    require(class_settings.latency_objective_work_factor >= 0,
            "classes.aim_stretch: must not be negative");
  }
  for (const auto& tenant : settings.tenants) {
    require(tenant.quota_per_s >= 0, "tenants.allowance_per_s: must not be negative");
  }
  require(settings.max_attempts >= 1, "most_tries: must be at least 1");
  require(settings.replicas >= 1, "replicas: must be at least 1");
  require(settings.tier_count >= 1 && settings.tier < settings.tier_count,
          "tier: must be less than the number of tiers, which must be at least 1");
  require(settings.time_step > Duration{0}, "step: must be above 0");
  require(settings.slow_start_initial_weight > 0 && settings.slow_start_initial_weight <= 1,
          "cold_from: must be in (0, 1]");
  require(settings.slow_start_window >= Duration{0}, "cold_span: must not be negative");
  require(settings.over_quota_priority_factor >= 0 && settings.over_quota_priority_factor <= 1,
          "over_share_worth: must be in [0, 1]");
}

}  // namespace beechhill
