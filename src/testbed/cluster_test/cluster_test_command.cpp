#include "testbed/cluster_test/cluster_test_command.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulator/scenario_file.h"
#include "emulator/scenario_reader.h"
#include "emulator/units.h"
#include "emulator/world.h"
#include "experiments/experiment.h"
#include "experiments/plot.h"
#include "testbed/cluster_test/cluster_test.h"
#include "testbed/cluster_test/fault_plan.h"
#include "testbed/console.h"
#include "testbed/exit_code.h"
#include "testbed/load_test.h"
#include "testbed/scenario_options.h"

namespace beechhill::testbed {

using emulator::Scenario;

namespace {

constexpr std::size_t kMaxShrinkRuns = 40;
constexpr std::uint32_t kMaxRuns = 10'000;

struct Options {
  ScenarioOptions scenario;
  std::string json_file;  // path; empty: no JSON is written
  std::string html_file;  // path; empty: no HTML is written
  ClusterTestOptions test;
  std::uint32_t runs = 1;  // number of runs; their seeds are consecutive
  bool draw_faults = false;
  bool shrink = false;
};

Scenario scenario_of_run(const Options& options, std::uint32_t run) {
  Scenario scenario = load_scenario(options.scenario);
  scenario.seed += run;
  if (options.draw_faults) {
    scenario.faults = draw_faults(scenario, scenario.seed);
  }
  return scenario;
}

Json::Value json_number(std::uint64_t number) {
  return {static_cast<Json::UInt64>(number)};
}

Json::Value result_row(const ClusterTestResult& test, const Scenario& scenario,
                       const std::string& policy) {
  Json::Value row = experiments::make_result_row(scenario, policy, test.result);
  Json::Value& result = row["result"];
  if (test.recovery.full_after) {
    result["full_after_s"] = emulator::to_s(*test.recovery.full_after);
  }
  result["worth_lost_s"] = test.recovery.worth_lost;
  result["control_goodput"] = test.control_goodput;
  result["most_connections"] = json_number(test.peaks.connections);
  result["most_arrivals"] = json_number(test.peaks.attempts);
  result["control_most_connections"] = json_number(test.control_peaks.connections);
  result["control_most_arrivals"] = json_number(test.control_peaks.attempts);
  result["most_lists"] = json_number(test.max_snapshot_requests);
  result["broken"] = json_number(test.violations);
  return row;
}

void print_header(const Scenario& scenario, const ClusterTestOptions& options) {
  fmt::print("{}: {} {} and {} backends, {:.0f} requests/s for {:g} s\n", scenario.name,
             scenario.proxies, options.emulated ? "emulated proxies" : "processes",
             scenario.tiers[0].nodes, emulator::rate_per_s(scenario),
             emulator::to_s(scenario.length));
  fmt::print("{:>12} {:>9} {:>9} {:>10} {:>7} {:>17} {:>17} {:>9} {:>10}\n", "seed", "goodput",
             "control", "recovery s", "lost s", "connections/s", "attempts/s", "snapshots",
             "violations");
}

void print_result(const ClusterTestResult& test, const Scenario& scenario) {
  fmt::print("{:>12} {:>9.4f} {:>9.4f} {:>10} {:>7.2f} {:>17} {:>17} {:>9} {:>10}\n", scenario.seed,
             test.goodput, test.control_goodput, seconds_text(test.recovery.full_after),
             test.recovery.worth_lost,
             fmt::format("{} ({})", test.peaks.connections, test.control_peaks.connections),
             fmt::format("{} ({})", test.peaks.attempts, test.control_peaks.attempts),
             test.max_snapshot_requests, test.violations);
  if (scenario.group.voters > 0) {
    fmt::print(
        "{:>12} taken out and back {}, maintenance requests still open {}, the last completed at "
        "{:.1f} s\n",
        "", test.result["taken_out"].asUInt(), test.result["open_requests"].asUInt(),
        test.result["works_ended_s"].asDouble());
  }
  std::fflush(stdout);
}

// Prints the violations, and a fault plan that reproduces them, on standard error.
void report_violations(const ClusterTestResult& test, const Scenario& scenario,
                       const Options& options) {
  std::vector<emulator::FaultSpec> faults = scenario.faults;
  if (options.shrink) {
    const auto fails = [&](const std::vector<emulator::FaultSpec>& remaining) {
      Scenario reduced = scenario;
      reduced.faults = remaining;
      return count_violations(reduced, options.test) > 0;
    };
    faults = shrink(faults, kMaxShrinkRuns, fails);
  }
  fmt::print(stderr, "{}# seed {}: fault plan that reproduces the violations\n{}",
             test.violation_text, scenario.seed, to_toml(scenario, faults));
}

// Statistics of the recovery over all runs of one command.
class RecoverySummary {
 public:
  void add(const emulator::RecoveryCost& recovery) {
    times_.push_back(recovery.full_after);
    lost_.push_back(recovery.worth_lost);
  }
  // add() must have been called at least once.
  void print() {
    // Places runs that did not recover last.
    std::sort(times_.begin(), times_.end(),
              [](const auto& a, const auto& b) { return a && (!b || *a < *b); });
    std::sort(lost_.begin(), lost_.end());
    const std::size_t median = (times_.size() - 1) / 2;
    fmt::print(
        "recovery: median {} s, worst {} s; lost: median {:.2f}, worst {:.2f} seconds of all "
        "traffic\n",
        seconds_text(times_[median]), seconds_text(times_.back()), lost_[median], lost_.back());
  }

 private:
  std::vector<std::optional<Duration>> times_;
  std::vector<double> lost_;
};

ExitCode run(const Options& options) {
  const Scenario first = scenario_of_run(options, 0);
  print_header(first, options.test);
  const std::string policy = options.test.emulated ? options.test.policy : "real proxies";
  RecoverySummary summary;
  std::vector<Json::Value> rows;
  bool violated = false;
  for (std::uint32_t i = 0; i < options.runs; ++i) {
    const Scenario scenario = scenario_of_run(options, i);
    const ClusterTestResult test = run_cluster_test(scenario, options.test);
    summary.add(test.recovery);
    print_result(test, scenario);
    rows.push_back(result_row(test, scenario, policy));
    if (test.violations > 0) {
      violated = true;
      report_violations(test, scenario, options);
    }
  }
  if (options.test.control) {
    summary.print();
  }
  if (!options.json_file.empty()) {
    experiments::write_lines(options.json_file, rows);
  }
  if (!options.html_file.empty()) {
    write_text_file(options.html_file, experiments::html_report(first.name, rows, {}));
  }
  return violated ? kRuleViolated : kSuccess;
}

}  // namespace

void add_cluster_test_command(CLI::App& app, int& exit_code) {
  const auto options = std::make_shared<Options>();
  options->test.program = default_proxy_program();
  CLI::App* command = app.add_subcommand(
      "cluster-test",
      "Run many proxies under a fault injection plan, against a control without it, and check the "
      "rules");
  command
      ->add_option("scenario", options->scenario.file,
                   "Scenario file of one tier, with its faults (TOML)")
      ->required();
  command->add_flag("--emulated", options->test.emulated,
                    "Run in the emulator instead of with real processes");
  command->add_option("--policy", options->test.policy, "The load balancing policy in the emulator")
      ->check(CLI::IsMember(emulator::policy_names()))
      ->capture_default_str();
  command->add_option("--proxy", options->test.program, "The proxy program");
  add_scenario_options(*command, options->scenario);
  command->add_option("--seeds", options->runs, "Number of runs, with this seed and the next ones")
      ->check(CLI::Range(1u, kMaxRuns))
      ->capture_default_str();
  command->add_flag("!--alone", options->test.control,
                    "Run without the control: rules are checked, but the recovery is not measured");
  command->add_flag("--draw", options->draw_faults,
                    "Draw the faults at random from the seed instead of using the scenario's");
  command->add_flag("--shrink", options->shrink,
                    "Reduce a plan that violates a rule to fewer faults that still violate it");
  command->add_option("--json", options->json_file,
                      "Write the results to this file, as lines that `plot` reads");
  command->add_option("--html", options->html_file, "Plot the results into this file");
  command->callback([options, &exit_code] { exit_code = run(*options); });
}

}  // namespace beechhill::testbed
