// The command line. Without arguments the program serves. Exit codes: 0 done, 1 a fault while
// starting or serving, 2 faulty arguments or, with `check`, a faulty file; those of
// beechhill-testbed for what it carries out.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

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

constexpr int kFault = 1, kBadInput = 2;
constexpr auto kLastLines = 250ms;  // that a stalled reader of the log may hold up the end

std::string operator_file_of_environment() {
  const char* path = std::getenv("BEECHHILL_OPERATOR");
  return path ? path : "";
}

int serve(const std::string& operator_file) {
  std::signal(SIGPIPE, SIG_IGN);
  int code = 0;
  try {
    bootstrap::run(operator_file);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "beechhill: %s\n", error.what());
    code = kFault;
  }
  log::finish(kLastLines);
  return code;
}

int check(const std::string& config, const std::string& operator_file) {
  int code = 0;
  const auto look = [&code](const char* what, const std::string& path, const auto& read) {
    if (path.empty()) {
      return;
    }
    try {
      read();
      std::printf("%s: good: %s\n", what, path.c_str());
    } catch (const std::exception& error) {
      std::fprintf(stderr, "beechhill: %s: %s\n", what, error.what());
      code = kBadInput;
    }
  };
  if (!config.empty()) {
    ::setenv("GW_CONFIG", config.c_str(), 1);
  }
  const char* named = std::getenv("GW_CONFIG");
  if (!named && operator_file.empty()) {
    std::fprintf(stderr,
                 "beechhill: nothing to check: give --config or GW_CONFIG, --operator or "
                 "BEECHHILL_OPERATOR\n");
    return kBadInput;
  }
  look("configuration", named ? named : "", [] { config::load_config(); });
  look("operator file", operator_file, [&] { config::load_operator(operator_file); });
  return code;
}

// The emulator and its libraries stay out of the serving program: they are a program of their own
// beside it.
int hand_over(char** argv) {
  std::error_code error;
  const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
  const std::string testbed = (self.parent_path() / "beechhill-testbed").string();
  ::execv(testbed.c_str(), argv);
  std::fprintf(stderr, "beechhill: %s is carried out by %s, which cannot be started\n", argv[1],
               testbed.c_str());
  return kFault;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 1) {
    return serve(operator_file_of_environment());
  }

  CLI::App app{
      "beechhill: a load balancing proxy for services that stand in tiers. Without arguments it "
      "serves."};
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 done, 1 a fault while starting or serving, 2 faulty arguments or a faulty "
      "file. The commands\n"
      "marked [testbed] are carried out by beechhill-testbed, which stands beside this program; "
      "its own "
      "--help tells more.");
  int code = 0;
  std::string config, operator_file = operator_file_of_environment();

  CLI::App* c = app.add_subcommand("serve", "Serve with the configuration that GW_CONFIG names");
  c->add_option("--operator", operator_file,
                "Operator file (TOML), in place of BEECHHILL_OPERATOR's");
  c->callback([&] { code = serve(operator_file); });

  c = app.add_subcommand(
      "check", "Say what is wrong with a configuration and an operator file, with key and line");
  c->add_option("--config", config, "Configuration (JSON), in place of GW_CONFIG's");
  c->add_option("--operator", operator_file,
                "Operator file (TOML), in place of BEECHHILL_OPERATOR's");
  c->callback([&] { code = check(config, operator_file); });

#ifdef BEECHHILL_CLUSTER
  maintenance::add_maintenance_command(app, code);
#endif

  for (const auto& [name, text] :
       {std::pair{"emulate", "[testbed] Play a scenario in simulated time"},
        {"experiment", "[testbed] Run a grid of scenarios, policies and seeds"},
        {"plot", "[testbed] Draw results into one HTML page"},
        {"fake-backends", "[testbed] Play fake backends and their discovery on loopback"},
        {"cluster-test",
         "[testbed] Many processes under a fault plan, checked against what clients and backends "
         "observed"},
        {"demo", "[testbed] Nodes, discovery, the real proxy and a load, all on this machine"}}) {
    c = app.add_subcommand(name, text);
    c->prefix_command();
    c->set_help_flag();
    c->callback([&] { code = hand_over(argv); });
  }

  c = app.add_subcommand("version", "Print the version");
  c->callback([] { std::printf("beechhill %s\n", BEECHHILL_VERSION); });

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kBadInput;
  }
  return code;
}
