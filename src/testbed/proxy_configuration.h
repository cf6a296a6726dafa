// The configuration (GW_CONFIG) of a real proxy in a scenario.
#pragma once

#include <json/json.h>

#include <cstddef>
#include <cstdint>
#include <string>

#include "emulator/scenario.h"

namespace beechhill::testbed {

/// The seed of a proxy's random choices: each proxy has its own.
std::uint64_t proxy_seed(const emulator::Scenario& scenario, std::size_t proxy);

/// `listen`, `discovery`: addresses as "host:port". The proxy is told the settings of the
/// scenario's first tier; `seed` is for its random choices.
Json::Value proxy_configuration(const emulator::Scenario& scenario, const std::string& name,
                                const std::string& listen, const std::string& discovery,
                                std::uint64_t seed);

}  // namespace beechhill::testbed
