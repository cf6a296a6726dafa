#include "testbed/cluster_test/cluster_test.h"

#include <fmt/format.h>

#include <memory>
#include <optional>

#include "emulator/units.h"
#include "emulator/world.h"
#include "experiments/experiment.h"
#include "testbed/cluster_test/fault_plan.h"
#include "testbed/load_test.h"

namespace beechhill::testbed {

using emulator::Scenario;

namespace {

// The result of one run of the scenario, with all of its faults or as the control run.
struct SingleRun {
  std::unique_ptr<emulator::World> world;  // null for real processes; the metrics refer to it
  std::shared_ptr<const emulator::Metrics> metrics;  // never null
  Json::Value result;
  BackendPeaks peaks;
  std::uint64_t max_snapshot_requests = 0;
  std::uint64_t violations = 0;
  std::string violation_text;
  // Time at which the last proxy that a fault made unavailable was ready again.
  std::optional<Time> last_ready_at;
};

void check_maintenance(const LoadTestResult& load_test, const Scenario& scenario, SingleRun& run) {
  if (load_test.attempts_during_maintenance > 0) {
    run.violations += load_test.attempts_during_maintenance;
    run.violation_text +=
        fmt::format("{} attempts reached backends that were out for maintenance\n",
                    load_test.attempts_during_maintenance);
  }
  if (load_test.max_backends_out > scenario.group.most_out) {
    ++run.violations;
    run.violation_text +=
        fmt::format("{} backends were out for maintenance at once\n", load_test.max_backends_out);
  }
  if (scenario.group.voters > 0) {
    run.result["taken_out"] = load_test.backends_maintained;
    run.result["open_requests"] = load_test.open_requests;
    run.result["works_ended_s"] = emulator::to_s(load_test.maintenance_completed_at);
  }
}

SingleRun run_processes(const Scenario& scenario, const std::string& program) {
  LoadTestResult load_test = run_load_test(scenario, program);
  SingleRun run;
  run.metrics = std::move(load_test.metrics);
  run.result = std::move(load_test.result);
  run.peaks = {load_test.max_connections_per_s, load_test.max_attempts_per_s};
  run.max_snapshot_requests = load_test.max_snapshot_requests;
  run.violations = load_test.violations + load_test.wrong_responses;
  run.violation_text = std::move(load_test.violation_text);
  if (load_test.wrong_responses > 0) {
    run.violation_text +=
        fmt::format("{} responses did not belong to their requests\n", load_test.wrong_responses);
  }
  check_maintenance(load_test, scenario, run);
  if (load_test.last_ready_at > Time{0}) {
    run.last_ready_at = load_test.last_ready_at;
  }
  return run;
}

SingleRun run_emulated(const Scenario& scenario, const std::string& policy) {
  SingleRun run;
  run.world = experiments::make_world(scenario, policy);
  run.world->run();
  run.metrics = std::make_shared<const emulator::Metrics>(run.world->metrics());
  run.result = run.metrics->to_json(true);
  run.peaks = {run.metrics->max_connections, run.metrics->max_arrivals};
  run.violations = run.world->rules().all() + run.world->requests_in_flight();
  for (const emulator::Violation& violation : run.world->rules().violations()) {
    run.violation_text += fmt::format("{:.6f} {}: {}\n{}", emulator::to_s(violation.at),
                                      name_of(violation.rule), violation.what, violation.trace);
  }
  if (run.world->requests_in_flight() > 0) {
    run.violation_text += fmt::format("{} requests never ended\n", run.world->requests_in_flight());
  }
  return run;
}

SingleRun run_once(const Scenario& scenario, const ClusterTestOptions& options) {
  return options.emulated ? run_emulated(scenario, options.policy)
                          : run_processes(scenario, options.program);
}

void compare_with_control(const SingleRun& run, const SingleRun& control, const Scenario& scenario,
                          ClusterTestResult& result) {
  const FaultWindow window = process_fault_window(scenario);
  result.control_goodput = control.metrics->goodput();
  result.recovery = run.metrics->measure_recovery(*control.metrics, window.began,
                                                  run.last_ready_at.value_or(window.ended));
  result.control_peaks = control.peaks;
  result.violations += control.violations;
  if (control.violations > 0) {
    result.violation_text += "violations in the control run:\n" + control.violation_text;
  }
}

}  // namespace

ClusterTestResult run_cluster_test(const Scenario& scenario, const ClusterTestOptions& options) {
  const SingleRun run = run_once(scenario, options);
  ClusterTestResult result;
  result.result = run.result;
  result.goodput = run.metrics->goodput();
  result.peaks = run.peaks;
  result.max_snapshot_requests = run.max_snapshot_requests;
  result.violations = run.violations;
  result.violation_text = run.violation_text;
  if (options.control) {
    // The scenario must outlive the control run's metrics, which refer to it.
    const Scenario control_scenario = without_process_faults(scenario);
    compare_with_control(run, run_once(control_scenario, options), scenario, result);
  }
  return result;
}

std::uint64_t count_violations(const Scenario& scenario, const ClusterTestOptions& options) {
  return run_once(scenario, options).violations;
}

}  // namespace beechhill::testbed
