#include "testbed/load_test_commands.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "emulator/scenario.h"
#include "emulator/units.h"
#include "experiments/experiment.h"
#include "experiments/plot.h"
#include "testbed/console.h"
#include "testbed/cost_measurement.h"
#include "testbed/exit_code.h"
#include "testbed/fake_backends_command.h"
#include "testbed/load_test.h"
#include "testbed/scenario_options.h"

namespace beechhill::testbed {

namespace {

constexpr const char* kDefaultDemoReport = "demo.html";
constexpr std::uint32_t kMaxCostBackends = 4000;
constexpr std::uint32_t kMaxCostClients = 10'000;

struct LoadTestOptions {
  std::string scenario_file;  // path; empty: the demo scenario is used
  std::string proxy_program = default_proxy_program();
  std::string json_file;  // path; empty: no JSON is written
  std::string html_file;  // path; empty: no HTML is written
};

void print_run(const LoadTestResult& run) {
  const Json::Value& result = run.result;
  print_result_table(result);
  fmt::print(
      "proxy attempts/request {:.3f}  connections to backends {}  proxy CPU {:.0f} us/request  "
      "load sent at most {:.1f} ms late\n",
      result["attempts_per_request"].asDouble(), result["node_connections"].asUInt64(),
      result["proxy_cpu_us_per_request"].asDouble(), 1e3 * emulator::to_s(run.max_send_delay));
}

Json::Value result_row(const LoadTestResult& run, const emulator::Scenario& scenario) {
  Json::Value row = experiments::make_result_row(scenario, "real proxy", run.result);
  row["result"]["wrong_answers"] = static_cast<Json::UInt64>(run.wrong_responses);
  return row;
}

void write_results(const Json::Value& row, const emulator::Scenario& scenario,
                   const LoadTestOptions& options) {
  if (!options.json_file.empty()) {
    experiments::write_lines(options.json_file, {row});
  }
  if (!options.html_file.empty()) {
    const std::string title = scenario.name + ": the real proxy with fake backends";
    write_text_file(options.html_file, experiments::html_report(title, {row}, {}));
    fmt::print("report: {}\n", options.html_file);
  }
}

ExitCode execute_load_test(const LoadTestOptions& options) {
  const emulator::Scenario scenario = load_scenario_or_demo(options.scenario_file);
  fmt::print("{}: {} fake backends, {} real prox{}, {:.0f} requests/s for {:g} s\n", scenario.name,
             scenario.tiers[0].nodes, scenario.proxies, scenario.proxies == 1 ? "y" : "ies",
             emulator::rate_per_s(scenario), emulator::to_s(scenario.length));
  std::fflush(stdout);
  LoadTestResult run;
  {
    ProgressLine progress;
    run = run_load_test(scenario, options.proxy_program,
                        [&progress](const std::string& text) { progress.show(text); });
  }
  print_run(run);
  write_results(result_row(run, scenario), scenario, options);
  if (run.wrong_responses > 0) {
    fmt::print(stderr, "{} responses did not belong to their requests\n", run.wrong_responses);
    return kRuleViolated;
  }
  return kSuccess;
}

void add_load_test_command(CLI::App& app, int& exit_code) {
  const auto options = std::make_shared<LoadTestOptions>();
  CLI::App* command = app.add_subcommand(
      "load-test", "Run a scenario of one tier with real proxies and fake backends");
  command->add_option("scenario", options->scenario_file, "Scenario file (TOML)")->required();
  command->add_option("--proxy", options->proxy_program, "The proxy program")
      ->capture_default_str();
  command->add_option("--json", options->json_file,
                      "Write the result to this file, as one line that `plot` reads");
  command->add_option("--html", options->html_file, "Plot the result into this file");
  command->callback([options, &exit_code] { exit_code = execute_load_test(*options); });
}

void add_demo_command(CLI::App& app, int& exit_code) {
  const auto options = std::make_shared<LoadTestOptions>();
  options->html_file = kDefaultDemoReport;
  CLI::App* command = app.add_subcommand(
      "demo",
      "A first load test: fake backends and discovery, the real proxy and a load; two backends "
      "become unresponsive and recover");
  command->add_option("--proxy", options->proxy_program, "The proxy program")
      ->capture_default_str();
  command->add_option("--html", options->html_file, "Plot the result into this file")
      ->capture_default_str();
  command->callback([options, &exit_code] { exit_code = execute_load_test(*options); });
}

void add_cost_command(CLI::App& app) {
  const auto options = std::make_shared<CostMeasurementOptions>();
  options->program = default_proxy_program();
  CLI::App* command = app.add_subcommand(
      "cost", "Measure what a request costs the proxy, by the number of busy clients");
  command->add_option("--nodes", options->backends, "Fake backends; they do no work")
      ->check(CLI::Range(1u, kMaxCostBackends))
      ->capture_default_str();
  command->add_option("--clients", options->clients, "Busy clients; one measurement each")
      ->check(CLI::Range(1u, kMaxCostClients))
      ->capture_default_str();
  command->add_option("--seconds", options->seconds_each, "Duration of each measurement")
      ->check(CLI::Range(0.5, 600.0))
      ->capture_default_str();
  command->add_option("--proxy", options->program, "The proxy program")->capture_default_str();
  command->callback([options] { measure_cost(*options); });
}

}  // namespace

void add_load_test_commands(CLI::App& app, int& exit_code) {
  add_fake_backends_command(app, exit_code);
  add_load_test_command(app, exit_code);
  add_cost_command(app);
  add_demo_command(app, exit_code);
}

}  // namespace beechhill::testbed
