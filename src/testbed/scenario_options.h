// Which scenario a command runs.
#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "emulator/scenario.h"

namespace beechhill::testbed {

/// A scenario file, with changes from the command line.
struct ScenarioOptions {
  std::string file;
  std::vector<std::string> overrides;  // "KEY=VALUE"
  std::int64_t seed = -1;              // negative: the scenario's
};

/// Adds `--seed` and `--set` to a command. `options` must outlive the app's parsing.
void add_scenario_options(CLI::App& command, ScenarioOptions& options);

/// Throws config::TomlError for a faulty file or change, std::invalid_argument for a change of a
/// key that does not exist.
emulator::Scenario load_scenario(const ScenarioOptions& options);

/// The scenario in the file; where its name is empty, the demo's. Throws config::TomlError for a
/// faulty file.
emulator::Scenario load_scenario_or_demo(const std::string& file);

}  // namespace beechhill::testbed
