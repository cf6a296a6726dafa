// beechhill-testbed: the emulator, experiments, and tests of real proxies with fake backends.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <stdexcept>

#include "config/toml_reader.h"
#include "testbed/cluster_test/cluster_test_command.h"
#include "testbed/emulator_commands.h"
#include "testbed/exit_code.h"
#include "testbed/load_test_commands.h"
#ifdef BEECHHILL_CLUSTER
#include "testbed/simulation_commands.h"
#endif

namespace {

using namespace beechhill;

// Parses the command line and runs the command. Exceptions of the command propagate.
int run(int argc, char** argv) {
  CLI::App app{
      "beechhill-testbed: an emulator of proxies and backends, experiments with it, and tests of "
      "real proxies with fake backends"};
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 success, 1 system or file error, 2 invalid arguments or input, 3 "
      "a rule was violated, 4 interrupted.");
  int exit_code = testbed::kSuccess;
  testbed::add_emulator_commands(app, exit_code);
  testbed::add_load_test_commands(app, exit_code);
  testbed::add_cluster_test_command(app, exit_code);
#ifdef BEECHHILL_CLUSTER
  testbed::add_simulate_membership_command(app, exit_code);
  testbed::add_simulate_maintenance_command(app, exit_code);
#endif
  app.add_subcommand("version", "Print the version")->callback([] {
    fmt::print("beechhill-testbed {}\n", BEECHHILL_VERSION);
  });
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? testbed::kSuccess : testbed::kInvalidInput;
  }
  return exit_code;
}

int report(const char* message, testbed::ExitCode exit_code) {
  std::fprintf(stderr, "beechhill-testbed: %s\n", message);
  return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const config::TomlError& error) {
    return report(error.what(), testbed::kInvalidInput);
  } catch (const std::invalid_argument& error) {
    return report(error.what(), testbed::kInvalidInput);
  } catch (const std::exception& error) {
    return report(error.what(), testbed::kError);
  } catch (...) {
    return report("unknown error", testbed::kError);
  }
}
