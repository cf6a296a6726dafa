// The command `cluster-test`.
#pragma once

#include <CLI/CLI.hpp>

namespace beechhill::testbed {

/// Adds the command to `app`. It stores its exit code in `exit_code`, which must outlive the
/// parsing of `app`.
void add_cluster_test_command(CLI::App& app, int& exit_code);

}  // namespace beechhill::testbed
