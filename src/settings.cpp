// Refuses settings that make no sense, naming the setting.
#include <stdexcept>

#include "beechhill/balancer.h"

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
    require(c.aim > Duration{0}, "classes.aim: must be above 0");
    require(c.deadline >= c.aim, "classes.deadline: must not be under the aim");
    require(c.worth >= 0, "classes.worth: must not be negative");
    require(c.late_worth >= 0 && c.late_worth <= 1, "classes.late_worth: must be in [0, 1]");
    require(c.memory_span >= Duration{0}, "classes.memory_span: must not be negative");
    require(c.aim_stretch >= 0, "classes.aim_stretch: must not be negative");
  }
  for (const auto& t : s.tenants) {
    require(t.allowance_per_s >= 0, "tenants.allowance_per_s: must not be negative");
  }
  require(s.most_tries >= 1, "most_tries: must be at least 1");
  require(s.replicas >= 1, "replicas: must be at least 1");
  require(s.tier_count >= 1 && s.tier < s.tier_count, "tier: must be one of the tiers");
  require(s.step > Duration{0}, "step: must be above 0");
  require(s.cold_from > 0 && s.cold_from <= 1, "cold_from: must be in (0, 1]");
  require(s.cold_span >= Duration{0}, "cold_span: must not be negative");
  require(s.over_share_worth >= 0 && s.over_share_worth <= 1,
          "over_share_worth: must be in [0, 1]");
}

}  // namespace beechhill
