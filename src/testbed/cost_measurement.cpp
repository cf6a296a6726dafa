#include "testbed/cost_measurement.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "config/toml_reader.h"
#include "emulator/scenario.h"
#include "emulator/scenario_reader.h"
#include "experiments/temp_folder.h"
#include "testbed/closed_loop_load.h"
#include "testbed/fake_services.h"
#include "testbed/proxy_configuration.h"
#include "testbed/proxy_process.h"
#include "testbed/reserved_port.h"
#include "testbed/task_helpers.h"
#include "testbed/testbed_clock.h"

namespace beechhill::testbed {

using runtime::Clock;
using runtime::Task;

namespace {

// Maximum number of sockets of the proxy. It exceeds the maximum number of clients that the command
// accepts.
constexpr int kMaxProxySockets = 16'384;

// Scenario whose requests take the backends no noticeable time; the parameter is the number of
// backends.
constexpr const char* kScenarioTemplate = R"(
length = "10s"
[load]
rate = 1.0
[[class]]
name = "read"
work = "1us"
spread = "fixed"
aim = "5s"
deadline = "10s"
[[tier]]
name = "front"
cores = 4
room = 100000
connection = {{ work = "0us" }}
nodes = {}
)";

class CostMeasurement {
 public:
  CostMeasurement(const emulator::Scenario& scenario, const std::string& program)
      : scenario_(scenario), services_(scheduler_, clock_, scenario_) {
    const sockaddr_in address = port_.address();
    Json::Value config =
        proxy_configuration(scenario_, "proxy-0", net::to_string(address),
                            services_.discovery(0).address_text(), proxy_seed(scenario_, 0));
    config["limits"]["sockets"] = kMaxProxySockets;
    proxy_ = std::make_unique<ProxyProcess>(directory_, program, std::move(config), address);
  }
  void run(const std::vector<std::size_t>& client_counts, double seconds_each) {
    run_until_done(scheduler_, measure_all(client_counts, seconds_each));
    proxy_->shut_down();
  }

 private:
  Task<> measure_all(std::vector<std::size_t> client_counts, double seconds_each) {
    proxy_->start();
    co_await wait_until_ready(scheduler_, *proxy_);
    for (const std::size_t clients : client_counts) {
      co_await measure(clients, std::chrono::duration<double>(seconds_each));
    }
  }

  Task<> measure(std::size_t clients, std::chrono::duration<double> duration) {
    ClosedLoopLoad load(scheduler_, scenario_, proxy_->address(), clients);
    const double cpu_before_s = proxy_->running_cpu_s();
    const auto started_at = Clock::now();
    co_await load.run(started_at + std::chrono::duration_cast<Clock::duration>(duration));
    const double duration_s = std::chrono::duration<double>(Clock::now() - started_at).count();
    const double cpu_s = proxy_->running_cpu_s() - cpu_before_s;
    const auto served = static_cast<double>(std::max<std::uint64_t>(1, load.served()));
    fmt::print(
        "{:>7} backends {:>7} clients {:>9.0f} served/s {:>8.1f} us CPU/request {:>7} not served "
        "{:>6} KiB RSS\n",
        scenario_.tiers[0].nodes, clients, served / duration_s, 1e6 * cpu_s / served,
        load.not_served(), proxy_->rss_kib());
    std::fflush(stdout);
  }

  const emulator::Scenario& scenario_;
  experiments::TempDirectory directory_;
  runtime::Scheduler scheduler_;
  TestbedClock clock_;
  FakeServices services_;
  const ReservedPort port_;
  std::unique_ptr<ProxyProcess> proxy_;
};

void raise_open_file_limit() {
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
}

}  // namespace

void measure_cost(const CostMeasurementOptions& options) {
  raise_open_file_limit();
  ::signal(SIGPIPE, SIG_IGN);
  const std::string text = fmt::format(kScenarioTemplate, options.backends);
  const emulator::Scenario scenario =
      emulator::read_scenario(config::parse_toml(text, "cost"), "cost");
  CostMeasurement measurement(scenario, options.program);
  measurement.run(options.clients, options.seconds_each);
}

}  // namespace beechhill::testbed
