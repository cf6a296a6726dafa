// Command-line options that select the scenario of a command.
#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "emulator/scenario.h"

namespace beechhill::testbed {

/// A scenario file and overrides from the command line.
struct ScenarioOptions {
  std::string file;
  std::vector<std::string> overrides;  // each of the form "KEY=VALUE"
  std::int64_t seed = -1;              // negative: the seed in the file is used
};

/// Adds `--seed` and `--set` to a command. `options` must outlive the app's parsing.
void add_scenario_options(CLI::App& command, ScenarioOptions& options);

/// Throws config::TomlError for an invalid file or override, and std::invalid_argument for an
/// override of a key that does not exist.
emulator::Scenario load_scenario(const ScenarioOptions& options);

/// Loads the scenario from `file`, or the demo scenario if `file` is empty. Throws
/// config::TomlError for an invalid file.
emulator::Scenario load_scenario_or_demo(const std::string& file);

}  // namespace beechhill::testbed
