// Reads the balancer's settings from JSON, for both the simulator's host and the proxy.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "beechhill/balancer.h"
#include "config/json.h"

namespace beechhill::config {

/// The balancer's settings with the names of the zone, classes and tenants, which the settings
/// identify by number.
struct NamedSettings {
  /// `settings.zone`, the id of `zone`, is always 0.
  Settings settings;
  std::string zone;
  /// Names of the classes, indexed by ClassId.
  std::vector<std::string> classes;
  /// Names of the tenants, indexed by TenantId.
  std::vector<std::string> tenants;
};

/// Reads the settings from `env` and sets their seed to `seed`. Unknown keys are ignored. Does not
/// check value ranges; use validate(). Throws JsonError.
NamedSettings read_settings(const Json::Value& env, std::uint64_t seed);

}  // namespace beechhill::config
