// The command `fake-backends`, which runs fake backends and their discovery server for a proxy that
// is started manually.
#pragma once

#include <CLI/CLI.hpp>

namespace beechhill::testbed {

/// Adds the command to `app`. It stores its exit code in `exit_code`, which must outlive the
/// parsing of `app`.
void add_fake_backends_command(CLI::App& app, int& exit_code);

}  // namespace beechhill::testbed
