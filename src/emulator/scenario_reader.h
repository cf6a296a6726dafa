/// Reads a scenario from TOML, validates it and fills in defaults.
#pragma once

#include <toml++/toml.h>

#include <string>

#include "emulator/scenario.h"

namespace beechhill::emulator {

/// Throws config::TomlError with the file, line and key of an invalid value. `file` is the file
/// name to report.
Scenario read_scenario(const toml::table& table, const std::string& file);

}  // namespace beechhill::emulator
