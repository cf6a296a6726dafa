// The commands that run parts of a cluster in simulated time: `simulate-membership` measures how
// gossip members detect joins, failures and partitions, and `simulate-maintenance` runs maintenance
// of all backends under randomly drawn faults.
#pragma once

#include <CLI/CLI.hpp>

namespace beechhill::testbed {

/// Add one command each to `app`. The command stores its exit code in `exit_code`, which must
/// outlive the parsing of `app`.
void add_simulate_membership_command(CLI::App& app, int& exit_code);
void add_simulate_maintenance_command(CLI::App& app, int& exit_code);

}  // namespace beechhill::testbed
