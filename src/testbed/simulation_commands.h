// The commands that simulate parts of a cluster in simulated time: `simulate-membership`, what
// gossip members learn of each other, and `simulate-maintenance`, maintenance of all backends under
// drawn faults.
#pragma once

#include <CLI/CLI.hpp>

namespace beechhill::testbed {

/// `exit_code` must outlive the app's parsing, which sets it.
void add_simulate_membership_command(CLI::App& app, int& exit_code);
void add_simulate_maintenance_command(CLI::App& app, int& exit_code);

}  // namespace beechhill::testbed
