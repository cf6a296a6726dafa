// The commands that use only the emulator: `emulate`, `experiment` and `plot`.
#pragma once

#include <CLI/CLI.hpp>

namespace beechhill::testbed {

/// Adds the commands to `app`. Each command stores its exit code in `exit_code`, which must outlive
/// the parsing of `app`.
void add_emulator_commands(CLI::App& app, int& exit_code);

}  // namespace beechhill::testbed
