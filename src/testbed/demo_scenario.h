// The scenario of `demo`, and of commands that are given none.
#pragma once

#include <string>

#include "emulator/scenario.h"

namespace beechhill::testbed {

/// The scenario in the file; where its name is empty, the demo. Throws config::TomlError for a
/// faulty file.
emulator::Scenario load_scenario_or_demo(const std::string& file);

}  // namespace beechhill::testbed
