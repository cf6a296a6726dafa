// Generates the configuration (GW_CONFIG) of a real proxy in a scenario.
#pragma once

#include <json/json.h>

#include <cstddef>
#include <cstdint>
#include <string>

#include "emulator/scenario.h"

namespace beechhill::testbed {

/// Returns the seed of a proxy's random choices, which differs between proxies.
std::uint64_t proxy_seed(const emulator::Scenario& scenario, std::size_t proxy);

/// Returns a configuration with the settings of the scenario's first tier. `listen` and `discovery`
/// are addresses of the form "host:port"; `seed` is for the proxy's random choices.
Json::Value proxy_configuration(const emulator::Scenario& scenario, const std::string& name,
                                const std::string& listen, const std::string& discovery,
                                std::uint64_t seed);

}  // namespace beechhill::testbed
