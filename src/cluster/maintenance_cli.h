// `beechhill maintenance`: staff's words, carried to the operators' door of any proxy; and the
// founding of a voter's storage.
#pragma once

#include <CLI/CLI.hpp>

namespace beechhill::maintenance {

// `code` becomes the exit code: 0 done, 1 refused or not reached, 2 faulty arguments.
void add_maintenance_command(CLI::App& app, int& code);

}  // namespace beechhill::maintenance
