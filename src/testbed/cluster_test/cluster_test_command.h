// The command `cluster-test`.
#pragma once

#include <CLI/CLI.hpp>

namespace beechhill::testbed {

/// `exit_code` must outlive the app's parsing, which sets it.
void add_cluster_test_command(CLI::App& app, int& exit_code);

}  // namespace beechhill::testbed
