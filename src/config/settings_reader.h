// The one reader of the balancer's settings from JSON, for the simulator's host and the proxy
// alike.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "beechhill/balancer.h"
#include "config/json.h"

namespace beechhill::config {

/// The balancer's settings, and the names that stand for its numbers.
struct NamedSettings {
  /// The zone in it is 0.
  Settings settings;
  std::string zone;
  /// By ClassId.
  std::vector<std::string> classes;
  /// By TenantId.
  std::vector<std::string> tenants;
};

/// Reads `env` and takes over `seed`. Unknown keys are skipped; ranges are not checked, which
/// validate() does. Throws JsonError.
NamedSettings read_settings(const Json::Value& env, std::uint64_t seed);

}  // namespace beechhill::config
