#include "testbed/load_test.h"

#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <memory>
#include <stdexcept>

#include "emulator/units.h"
#include "testbed/fake_services.h"
#include "testbed/fault_injector.h"
#include "testbed/maintenance_operators.h"
#include "testbed/observation_log.h"
#include "testbed/open_loop_load.h"
#include "testbed/proxy_fault_injector.h"
#include "testbed/proxy_group.h"
#include "testbed/task_helpers.h"
#include "testbed/testbed_clock.h"

namespace beechhill::testbed {

using namespace std::chrono_literals;
using emulator::to_s;
using runtime::Clock;
using runtime::Task;

namespace {

constexpr auto kProgressInterval = 500ms;

Json::Value json_number(std::uint64_t number) {
  return {static_cast<Json::UInt64>(number)};
}

// Returns the maximum number of events that a backend counted in one second, from second
// `first_second` on.
std::uint32_t max_per_second(const ObservationLog::CountsPerSecond& counts,
                             std::size_t first_second) {
  std::uint32_t max = 0;
  for (const std::vector<std::uint32_t>& by_second : counts) {
    for (std::size_t i = first_second; i < by_second.size(); ++i) {
      max = std::max(max, by_second[i]);
    }
  }
  return max;
}

class LoadTest {
 public:
  LoadTest(const emulator::Scenario& scenario, const std::string& program,
           const std::function<void(const std::string&)>& progress)
      : scenario_(scenario),
        observations_(scenario_, scenario_.proxies, [this] { return clock_.now(); }),
        services_(scheduler_, clock_, scenario_, &observations_),
        proxies_(scheduler_, scenario_, program, services_),
        progress_(progress) {}

  LoadTestResult run() {
    run_until_done(scheduler_, run_load());
    proxies_.shut_down();
    LoadTestResult run;
    collect_load(run);
    collect_observations(run);
    collect_logs(run);
    collect_costs(run);
    collect_maintenance(run);
    return run;
  }

 private:
  Task<> run_load() {
    co_await proxies_.start();
    clock_.start = Clock::now();
    load_ = std::make_unique<OpenLoopLoad>(scheduler_, clock_, scenario_, proxies_.addresses(),
                                           observations_);
    start_faults();
    if (scenario_.group.voters > 0 && scenario_.group.work_on_all) {
      operators_ = std::make_unique<MaintenanceOperators>(
          scheduler_, clock_, scenario_, services_, observations_, proxies_.admin_addresses());
      scheduler_.spawn(operators_->run());
    }
    if (progress_) {
      scheduler_.spawn(report_progress());
    }
    co_await load_->run();
  }

  void start_faults() {
    proxy_faults_ = std::make_unique<ProxyFaultInjector>(scheduler_, clock_, scenario_, proxies_,
                                                         *load_, observations_);
    const auto handler = [this](const emulator::FaultSpec& fault,
                                const std::vector<std::uint32_t>& proxies,
                                FaultPhase phase) { proxy_faults_->apply(fault, proxies, phase); };
    faults_ = std::make_unique<FaultInjector>(scheduler_, clock_, scenario_, services_,
                                              &observations_, handler);
    scheduler_.spawn(faults_->run());
  }

  Task<> report_progress() {
    for (;;) {
      const Time now = clock_.now();
      const bool faulty = std::any_of(
          scenario_.faults.begin(), scenario_.faults.end(),
          [now](const emulator::FaultSpec& f) { return now >= f.at && now < f.at + f.length; });
      progress_(fmt::format("{:3.0f} s of {:g}: requests {}, served {}, open {}{}", to_s(now),
                            to_s(scenario_.length), load_->requests(), load_->served(),
                            load_->open_requests(), faulty ? "  (a fault is active)" : ""));
      co_await sleep_for(scheduler_, kProgressInterval);
    }
  }

  void collect_load(LoadTestResult& run) const {
    run.metrics = std::make_shared<const emulator::Metrics>(load_->metrics());
    run.result = load_->metrics().to_json(true);
    run.requests = load_->requests();
    run.wrong_responses = load_->wrong_responses();
    run.max_send_delay = load_->max_send_delay();
    run.last_ready_at = proxy_faults_->last_ready_at();
  }

  void collect_observations(LoadTestResult& run) const {
    const emulator::RuleChecker& rules = observations_.rules();
    run.violations = rules.all();
    run.excused = observations_.excused();
    for (const emulator::Violation& violation : rules.violations()) {
      run.violation_text += fmt::format("{:.3f} {}: {}\n{}", to_s(violation.at),
                                        name_of(violation.rule), violation.what, violation.trace);
    }
    const auto first_second = static_cast<std::size_t>(scenario_.warm_up / 1s);
    run.max_connections_per_s = max_per_second(observations_.connections(), first_second);
    run.max_attempts_per_s = max_per_second(observations_.attempts(), first_second);
    const std::vector<std::uint32_t>& snapshots = observations_.snapshot_requests();
    run.max_snapshot_requests = *std::max_element(snapshots.begin(), snapshots.end());
    for (const emulator::Rule rule : emulator::kRules) {
      run.result["rules"][name_of(rule)] = json_number(rules.count(rule));
    }
    run.result["excused"] = json_number(run.excused);
    run.result["most_connections"] = run.max_connections_per_s;
    run.result["most_arrivals"] = run.max_attempts_per_s;
    run.result["most_lists"] = run.max_snapshot_requests;
  }

  void collect_logs(LoadTestResult& run) const {
    for (std::size_t i = 0; i < proxies_.size(); ++i) {
      const ProxyProcess& proxy = proxies_.process(i);
      for (const char* event :
           {"snapshot_found", "snapshot_set_aside", "snapshot_lost", "recalled"}) {
        run.log_events[event] += proxy.count_log_events(event);
      }
      run.restored_endpoints += proxy.sum_log_field("recalled", "backends");
      run.discarded_endpoints += proxy.sum_log_field("recalled", "void");
    }
  }

  void collect_costs(LoadTestResult& run) const {
    std::uint64_t attempts = 0;
    std::uint64_t connections = 0;
    for (const auto& backend : services_.backends()) {
      attempts += backend->requests_received();
      connections += backend->connections_accepted();
    }
    for (std::size_t i = 0; i < proxies_.size(); ++i) {
      run.proxy_cpu_s += proxies_.process(i).cpu_s();
    }
    const auto per_request = [&run](double total) {
      return run.requests > 0 ? total / static_cast<double>(run.requests) : 0;
    };
    run.result["attempts"] = json_number(attempts);
    run.result["node_connections"] = json_number(connections);
    run.result["attempts_per_request"] = per_request(static_cast<double>(attempts));
    run.result["proxy_cpu_us_per_request"] = per_request(1e6 * run.proxy_cpu_s);
  }

  void collect_maintenance(LoadTestResult& run) const {
    run.attempts_during_maintenance = observations_.attempts_during_maintenance();
    if (!operators_) {
      return;
    }
    const MaintenanceOutcome& outcome = operators_->outcome();
    run.backends_maintained = outcome.backends_done;
    run.max_backends_out = outcome.max_out;
    run.open_requests = outcome.open_requests;
    run.last_maintenance_status = outcome.last_status;
    run.maintenance_completed_at = outcome.completed_at;
  }

  // The scheduler is destroyed after the objects that its tasks refer to. This is safe because
  // run() ends all tasks before it returns.
  const emulator::Scenario& scenario_;
  runtime::Scheduler scheduler_;
  TestbedClock clock_;
  ObservationLog observations_;
  FakeServices services_;
  ProxyGroup proxies_;
  std::unique_ptr<OpenLoopLoad> load_;
  std::unique_ptr<ProxyFaultInjector> proxy_faults_;
  std::unique_ptr<FaultInjector> faults_;
  std::unique_ptr<MaintenanceOperators> operators_;  // null if the scenario has no maintenance
  std::function<void(const std::string&)> progress_;
};

}  // namespace

std::string default_proxy_program() {
  std::error_code error;
  const std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe", error);
  return (self.parent_path() / "beechhill").string();
}

LoadTestResult run_load_test(const emulator::Scenario& scenario, const std::string& program,
                             const std::function<void(const std::string&)>& progress) {
  if (::access(program.c_str(), X_OK) != 0) {
    throw std::runtime_error(program + ": not an executable file");
  }
  ::signal(SIGPIPE, SIG_IGN);
  LoadTest test(scenario, program, progress);
  return test.run();
}

}  // namespace beechhill::testbed
