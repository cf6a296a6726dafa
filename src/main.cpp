// The command line. Without arguments the program serves. Exit codes: 0 success, 1 error while
// starting or serving, 2 invalid arguments or, with `check`, an invalid file. Commands executed by
// beechhill-testbed exit with its exit code.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <functional>
#include <string>
#include <system_error>

#include "bootstrap/run.h"
#include "config/config.h"
#include "config/operator_file.h"
#include "log/log.h"
#ifdef BEECHHILL_CLUSTER
#include "cluster/maintenance_cli.h"
#endif

namespace {

using namespace beechhill;
using namespace std::chrono_literals;

constexpr int kSuccess = 0;
constexpr int kFailure = 1;
constexpr int kUsageError = 2;

// Maximum time for which a stalled reader of the log delays the exit of the program.
constexpr auto kLogFlushTimeout = 250ms;

std::string operator_file_from_environment() {
  const char* path = std::getenv("BEECHHILL_OPERATOR");
  return path != nullptr ? path : "";
}

int serve(const std::string& operator_file) {
  std::signal(SIGPIPE, SIG_IGN);
  int exit_code = kSuccess;
  try {
    bootstrap::run(operator_file);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "beechhill: %s\n", error.what());
    exit_code = kFailure;
  }
  log::finish(kLogFlushTimeout);
  return exit_code;
}

int check_file(const char* kind, const std::string& path, const std::function<void()>& read) {
  try {
    read();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "beechhill: %s: %s\n", kind, error.what());
    return kUsageError;
  }
  std::printf("%s: good: %s\n", kind, path.c_str());
  return kSuccess;
}

// Reads and validates both files as serve() does, and returns the exit code. `config` takes
// precedence over GW_CONFIG.
int check(const std::string& config, const std::string& operator_file) {
  if (!config.empty()) {
    ::setenv("GW_CONFIG", config.c_str(), 1);
  }
  const char* const config_path = std::getenv("GW_CONFIG");
  if (config_path == nullptr && operator_file.empty()) {
    std::fprintf(stderr,
                 "beechhill: nothing to check: give --config or GW_CONFIG, --operator or "
                 "BEECHHILL_OPERATOR\n");
    return kUsageError;
  }
  int exit_code = kSuccess;
  if (config_path != nullptr && *config_path != '\0') {
    exit_code = check_file("configuration", config_path, [] { config::load_config(); });
  }
  if (!operator_file.empty()) {
    const int result = check_file("operator file", operator_file,
                                  [&] { config::load_operator_settings(operator_file); });
    exit_code = std::max(exit_code, result);
  }
  return exit_code;
}

// Replaces this process by beechhill-testbed, a separate program, so that the serving program does
// not contain the emulator and its libraries. Returns only if beechhill-testbed cannot be started.
int execute_testbed(char** argv) {
  std::error_code error;
  const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
  const std::string testbed = (self.parent_path() / "beechhill-testbed").string();
  ::execv(testbed.c_str(), argv);
  std::fprintf(stderr, "beechhill: command %s is executed by %s, which cannot be started\n",
               argv[1], testbed.c_str());
  return kFailure;
}

void add_serve_command(CLI::App& app, std::string& operator_file, int& exit_code) {
  CLI::App* command =
      app.add_subcommand("serve", "Serve with the configuration that GW_CONFIG names");
  command->add_option("--operator", operator_file,
                      "Operator file (TOML), overrides BEECHHILL_OPERATOR");
  command->callback([&] { exit_code = serve(operator_file); });
}

void add_check_command(CLI::App& app, std::string& config, std::string& operator_file,
                       int& exit_code) {
  CLI::App* command = app.add_subcommand(
      "check", "Check a configuration and an operator file; report errors with key and line");
  command->add_option("--config", config, "Configuration (JSON), overrides GW_CONFIG");
  command->add_option("--operator", operator_file,
                      "Operator file (TOML), overrides BEECHHILL_OPERATOR");
  command->callback([&] { exit_code = check(config, operator_file); });
}

void add_testbed_commands(CLI::App& app, char** argv, int& exit_code) {
  struct TestbedCommand {
    const char* name;
    const char* description;
  };
  constexpr TestbedCommand kCommands[] = {
      {"emulate", "[testbed] Run a scenario in simulated time"},
      {"experiment", "[testbed] Run a grid of scenarios, policies and seeds"},
      {"plot", "[testbed] Render results as one HTML page"},
      {"fake-backends", "[testbed] Run fake backends and their discovery on loopback"},
      {"cluster-test",
       "[testbed] Run many processes under a fault plan and check them against what clients and "
       "backends observed"},
      {"demo", "[testbed] Run backends, discovery, the real proxy and a load on this machine"},
  };
  for (const TestbedCommand& testbed_command : kCommands) {
    CLI::App* command = app.add_subcommand(testbed_command.name, testbed_command.description);
    // beechhill-testbed parses the command's arguments and its --help.
    command->prefix_command();
    command->set_help_flag();
    command->callback([argv, &exit_code] { exit_code = execute_testbed(argv); });
  }
}

int run_command_line(int argc, char** argv) {
  CLI::App app{
      "beechhill: a load balancing proxy for multi-tier services. Without arguments it serves."};
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 success, 1 error while starting or serving, 2 invalid arguments or an invalid "
      "file. Commands\n"
      "marked [testbed] are executed by beechhill-testbed, which is installed in the same "
      "directory; "
      "see its --help.");
  int exit_code = kSuccess;
  std::string config;
  std::string operator_file = operator_file_from_environment();
  add_serve_command(app, operator_file, exit_code);
  add_check_command(app, config, operator_file, exit_code);
#ifdef BEECHHILL_CLUSTER
  maintenance::add_maintenance_command(app, exit_code);
#endif
  add_testbed_commands(app, argv, exit_code);
  app.add_subcommand("version", "Print the version")->callback([] {
    std::printf("beechhill %s\n", BEECHHILL_VERSION);
  });
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == kSuccess ? kSuccess : kUsageError;
  }
  return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return argc == 1 ? serve(operator_file_from_environment()) : run_command_line(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "beechhill: %s\n", error.what());
    return kFailure;
  }
}
