// Refuses settings that make no sense, naming the setting.
#include "beechhill/settings.h"

#include <stdexcept>

namespace beechhill {
namespace {

void require(bool ok, const char* what) {
  if (!ok) {
    throw std::invalid_argument(what);
  }
}

}  // namespace

void validate(const Settings& s) {
  require(!s.classes.empty(), "classes: none given");
  for (const auto& c : s.classes) {
    require(c.latency_objective > Duration{0}, "classes.aim: must be above 0");
    require(c.deadline >= c.latency_objective, "classes.deadline: must not be under the aim");
    require(c.priority_weight >= 0, "classes.worth: must not be negative");
    require(c.late_priority_factor >= 0 && c.late_priority_factor <= 1,
            "classes.late_worth: must be in [0, 1]");
    require(c.deduplication_window >= Duration{0}, "classes.memory_span: must not be negative");
    require(c.latency_objective_work_factor >= 0, "classes.aim_stretch: must not be negative");
  }
  for (const auto& t : s.tenants) {
    require(t.quota_per_s >= 0, "tenants.allowance_per_s: must not be negative");
  }
  require(s.max_attempts >= 1, "most_tries: must be at least 1");
  require(s.replicas >= 1, "replicas: must be at least 1");
  require(s.tier_count >= 1 && s.tier < s.tier_count, "tier: must be one of the tiers");
  require(s.time_step > Duration{0}, "step: must be above 0");
  require(s.slow_start_initial_weight > 0 && s.slow_start_initial_weight <= 1,
          "cold_from: must be in (0, 1]");
  require(s.slow_start_window >= Duration{0}, "cold_span: must not be negative");
  require(s.over_quota_priority_factor >= 0 && s.over_quota_priority_factor <= 1,
          "over_share_worth: must be in [0, 1]");
}

}  // namespace beechhill
