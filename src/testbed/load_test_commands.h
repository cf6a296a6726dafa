// The commands that open sockets, all on loopback: `load-test`, `demo`, `cost` and `fake-backends`.
#pragma once

#include <CLI/CLI.hpp>

namespace beechhill::testbed {

/// `exit_code` must outlive the app's parsing, which sets it.
void add_load_test_commands(CLI::App& app, int& exit_code);

}  // namespace beechhill::testbed
