// The commands that work on the emulator alone: `emulate`, `experiment` and `plot`.
#pragma once

#include <CLI/CLI.hpp>

namespace beechhill::testbed {

/// `exit_code` must outlive the app's parsing, which sets it.
void add_emulator_commands(CLI::App& app, int& exit_code);

}  // namespace beechhill::testbed
