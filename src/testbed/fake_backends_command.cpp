#include "testbed/fake_backends_command.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/signalfd.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <sstream>
#include <string>

#include "net/socket.h"
#include "runtime/scheduler.h"
#include "testbed/console.h"
#include "testbed/exit_code.h"
#include "testbed/fake_services.h"
#include "testbed/fault_injector.h"
#include "testbed/proxy_configuration.h"
#include "testbed/scenario_options.h"
#include "testbed/task_helpers.h"
#include "testbed/testbed_clock.h"

namespace beechhill::testbed {

using runtime::Clock;
using runtime::Task;
using runtime::Wait;

namespace {

constexpr double kSecondsPerDay = 86'400;

struct Options {
  std::string scenario_file;  // path; empty: the demo scenario is used
  std::string config_file;    // path; empty: none is written
  std::string listen = "127.0.0.1:18080";
  double max_duration_s = kSecondsPerDay;
};

// Returns a descriptor that becomes readable when SIGTERM or SIGINT is received. Blocks both
// signals, so that they do not terminate the process.
net::FileDescriptor termination_signals() {
  sigset_t mask;
  sigemptyset(&mask);
  for (const int number : {SIGTERM, SIGINT}) {
    sigaddset(&mask, number);
  }
  sigprocmask(SIG_BLOCK, &mask, nullptr);
  return net::FileDescriptor(::signalfd(-1, &mask, SFD_NONBLOCK | SFD_CLOEXEC));
}

Task<> wait_for_signal(runtime::Scheduler& scheduler, net::FileDescriptor signals,
                       runtime::TimePoint deadline) {
  runtime::IoSource io(scheduler, signals.get());
  Wait wait(scheduler);
  wait.readable(io).until(deadline);
  co_await wait;
}

void write_proxy_configuration(const Options& options, const emulator::Scenario& scenario,
                               const std::string& discovery) {
  std::ostringstream text;
  text << proxy_configuration(scenario, "proxy-0", options.listen, discovery,
                              proxy_seed(scenario, 0))
       << "\n";
  write_text_file(options.config_file, text.str());
}

ExitCode run(const Options& options) {
  const emulator::Scenario scenario = load_scenario_or_demo(options.scenario_file);
  net::FileDescriptor signals = termination_signals();
  runtime::Scheduler scheduler;
  TestbedClock clock;
  FakeServices services(scheduler, clock, scenario);
  FaultInjector faults(scheduler, clock, scenario, services);
  const std::string discovery = services.discovery(0).address_text();
  if (!options.config_file.empty()) {
    write_proxy_configuration(options, scenario, discovery);
  }
  fmt::print("discovery {}\n", discovery);
  for (const auto& backend : services.backends()) {
    fmt::print("node-{} {}\n", backend->id(), backend->address_text());
  }
  std::fflush(stdout);
  scheduler.spawn(faults.run());
  const auto max_duration = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(options.max_duration_s));
  run_until_done(scheduler,
                 wait_for_signal(scheduler, std::move(signals), Clock::now() + max_duration));
  return kSuccess;
}

}  // namespace

void add_fake_backends_command(CLI::App& app, int& exit_code) {
  const auto options = std::make_shared<Options>();
  CLI::App* command = app.add_subcommand(
      "fake-backends",
      "Run fake backends and their discovery server on loopback until interrupted");
  command->add_option("scenario", options->scenario_file,
                      "Scenario file of one tier (TOML); by default that of `demo`");
  command->add_option("--config", options->config_file,
                      "Write a proxy's configuration (GW_CONFIG) for these backends to this file");
  command->add_option("--listen", options->listen, "The proxy's address in that configuration")
      ->capture_default_str();
  command->add_option("--for", options->max_duration_s, "Maximum duration of the run in seconds")
      ->check(CLI::Range(0.1, 1e6));
  command->callback([options, &exit_code] { exit_code = run(*options); });
}

}  // namespace beechhill::testbed
