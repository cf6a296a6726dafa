// `beechhill maintenance`: operators' commands, sent to the admin server of any proxy; and the
// creation of a voter's storage.
#pragma once

#include <CLI/CLI.hpp>

namespace beechhill::maintenance {

/// Adds the subcommand to `app`. When it runs, `exit_code` becomes 0 where the command was done, 1
/// where it was rejected or the proxy was not reached, and 2 for wrong arguments. `exit_code` must
/// outlive `app`.
void add_maintenance_command(CLI::App& app, int& exit_code);

}  // namespace beechhill::maintenance
