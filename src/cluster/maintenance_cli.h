// The subcommand `beechhill maintenance`: sends operators' commands to the admin server of a proxy,
// and creates the storage of a voter.
#pragma once

#include <CLI/CLI.hpp>

namespace beechhill::maintenance {

/// Adds the subcommand to `app`. When the subcommand runs, it sets `exit_code` to 0 on success, to
/// 1 if the command was rejected or the proxy could not be reached, and to 2 for invalid arguments.
/// `exit_code` must outlive `app`.
void add_maintenance_command(CLI::App& app, int& exit_code);

}  // namespace beechhill::maintenance
