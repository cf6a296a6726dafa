// The commands that open sockets, only on loopback: `load-test`, `demo`, `cost` and
// `fake-backends`.
#pragma once

#include <CLI/CLI.hpp>

namespace beechhill::testbed {

/// Adds the commands to `app`. Each command stores its exit code in `exit_code`, which must outlive
/// the parsing of `app`.
void add_load_test_commands(CLI::App& app, int& exit_code);

}  // namespace beechhill::testbed
