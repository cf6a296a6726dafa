/// Reads a scenario from TOML: checks it and fills in defaults, all in one place.
#pragma once

#include <toml++/toml.h>

#include <string>

#include "emulator/scenario.h"

namespace beechhill::emulator {

/// `file` names the file in errors. Throws config::TomlError naming file, line and key.
Scenario read_scenario(const toml::table& table, const std::string& file);

}  // namespace beechhill::emulator
