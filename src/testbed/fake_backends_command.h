// The command `fake-backends`: fake backends and their discovery server for a proxy that is started
// by hand.
#pragma once

#include <CLI/CLI.hpp>

namespace beechhill::testbed {

/// `exit_code` must outlive the app's parsing, which sets it.
void add_fake_backends_command(CLI::App& app, int& exit_code);

}  // namespace beechhill::testbed
