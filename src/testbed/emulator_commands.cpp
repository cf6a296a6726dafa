#include "testbed/emulator_commands.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "emulator/scenario_file.h"
#include "emulator/scenario_reader.h"
#include "emulator/units.h"
#include "experiments/experiment.h"
#include "experiments/plot.h"
#include "testbed/console.h"
#include "testbed/exit_code.h"
#include "testbed/scenario_options.h"

namespace beechhill::testbed {

namespace {

constexpr unsigned kMaxThreads = 256;

std::atomic<bool> interrupted{false};

void on_signal(int) {
  interrupted = true;
}

double peak_memory_mib() {
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  return static_cast<double>(used.ru_maxrss) / 1024;
}

void print_summary(const Json::Value& result, const emulator::Scenario& scenario,
                   const std::string& policy) {
  fmt::print("{}  policy={} seed={}  {:.1f} requests/s for {:g} s, capacity {:.1f}/s\n",
             scenario.name, policy, scenario.seed, emulator::rate_per_s(scenario),
             emulator::to_s(scenario.length), emulator::capacity_per_s(scenario));
  print_result_table(result);
  fmt::print(
      "client attempts/request {:.3f}  proxy attempts/request {:.3f}  waste {:.4f}  connections "
      "{}  overload collapses {}",
      result["tries_per_request"].asDouble(), result["attempts_per_request"].asDouble(),
      result["waste"].asDouble(), result["connections"].asUInt64(), result["tipped"].asUInt64());
  if (result.isMember("recovery_s")) {
    fmt::print("  recovery {:g} s", result["recovery_s"].asDouble());
  }
  fmt::print("\nrule violations:");
  for (const std::string& rule : result["rules"].getMemberNames()) {
    fmt::print(" {}={}", rule, result["rules"][rule].asUInt64());
  }
  fmt::print("\n");
}

struct EmulateOptions {
  ScenarioOptions scenario;
  std::string policy = "module";
  std::string json_file;  // path; empty: no JSON is written
};

ExitCode emulate(const EmulateOptions& options) {
  const emulator::Scenario scenario = load_scenario(options.scenario);
  experiments::RunOutput output;
  {
    ProgressLine progress;
    output = experiments::run_scenario(
        scenario, options.policy, !options.json_file.empty(),
        [&progress](double part) { progress.show(fmt::format("{:3.0f} %", 100 * part)); });
  }
  print_summary(output.result, scenario, options.policy);
  const double decisions = std::max(1.0, output.result["decisions"].asDouble());
  std::fprintf(stderr, "%.2f s, %.0f events/s, %.1f us/decision, %.0f MiB at the peak\n",
               output.wall_s, output.result["events"].asDouble() / output.wall_s,
               1e6 * output.wall_s / decisions, peak_memory_mib());
  if (!options.json_file.empty()) {
    experiments::write_lines(
        options.json_file, {experiments::make_result_row(scenario, options.policy, output.result)});
  }
  if (output.violations > 0) {
    std::fputs(output.violation_text.c_str(), stderr);
    return kRuleViolated;
  }
  return kSuccess;
}

struct ExperimentOptions {
  std::string experiment_file;
  std::string result_file;  // path; empty: the experiment's name with .jsonl
  std::string html_file;    // path; empty: no HTML is written
  unsigned threads = std::max(1u, std::thread::hardware_concurrency());
};

experiments::Summary run_cells(const experiments::Experiment& experiment,
                               const std::string& result_file, unsigned threads) {
  ProgressLine progress;
  return experiments::run_experiment(
      experiment, result_file, threads,
      [&progress](std::size_t done, std::size_t all) {
        progress.show(fmt::format("{} of {} cells", done, all));
      },
      [] { return interrupted.load(); });
}

void write_html(const std::string& html_file, const std::string& title,
                const std::vector<Json::Value>& rows, const std::string& result_file) {
  bool ignored = false;
  const std::vector<Json::Value> timing = experiments::read_lines(result_file + ".timing", ignored);
  write_text_file(html_file, experiments::html_report(title, rows, timing));
}

ExitCode run_experiment(const ExperimentOptions& options) {
  const experiments::Experiment experiment = experiments::load_experiment(options.experiment_file);
  const std::string result_file =
      options.result_file.empty() ? experiment.name + ".jsonl" : options.result_file;
  std::signal(SIGINT, on_signal);
  std::signal(SIGTERM, on_signal);
  const experiments::Summary summary = run_cells(experiment, result_file, options.threads);
  if (summary.torn) {
    std::fputs("an interrupted run left an incomplete line: that cell was run again\n", stderr);
  }
  fmt::print("{}: {} cells run, {} found finished, results in {}\n", experiment.name, summary.run,
             summary.already_finished, result_file);
  if (interrupted) {
    std::fputs("interrupted; run the same command again to continue\n", stderr);
    return kInterrupted;
  }
  if (!options.html_file.empty()) {
    bool ignored = false;
    write_html(options.html_file, experiment.title, experiments::read_lines(result_file, ignored),
               result_file);
  }
  if (summary.baseline_violations > 0) {
    fmt::print("baseline policies violated rules {} times; see \"rules\" in the results\n",
               summary.baseline_violations);
  }
  if (summary.module_violations > 0) {
    std::fputs(summary.violation_text.c_str(), stderr);
    return kRuleViolated;
  }
  return kSuccess;
}

struct PlotOptions {
  std::string result_file;
  std::string html_file;  // path; empty: the result file's name with .html
  std::string title;      // title of the page; empty: the result file's name
};

ExitCode plot(const PlotOptions& options) {
  if (!std::filesystem::exists(options.result_file)) {
    throw config::TomlError(options.result_file + ": result file does not exist");
  }
  bool incomplete = false;
  const std::vector<Json::Value> rows = experiments::read_lines(options.result_file, incomplete);
  if (incomplete) {
    std::fputs("skipped an incomplete line of the result file\n", stderr);
  }
  std::string html_file = options.html_file;
  if (html_file.empty()) {
    html_file = std::filesystem::path(options.result_file).replace_extension(".html").string();
  }
  write_html(html_file, options.title.empty() ? options.result_file : options.title, rows,
             options.result_file);
  fmt::print("{}\n", html_file);
  return kSuccess;
}

void add_emulate_command(CLI::App& app, int& exit_code) {
  const auto options = std::make_shared<EmulateOptions>();
  CLI::App* command =
      app.add_subcommand("emulate", "Run one scenario in simulated time and print the results");
  command->add_option("scenario", options->scenario.file, "Scenario file (TOML)")->required();
  command->add_option("--policy", options->policy, "The load balancing policy")
      ->check(CLI::IsMember(emulator::policy_names()))
      ->capture_default_str();
  add_scenario_options(*command, options->scenario);
  command->add_option("--json", options->json_file,
                      "Write the whole result to this file, as one line that `plot` reads");
  command->callback([options, &exit_code] { exit_code = emulate(*options); });
}

void add_experiment_command(CLI::App& app, int& exit_code) {
  const auto options = std::make_shared<ExperimentOptions>();
  CLI::App* command = app.add_subcommand(
      "experiment", "Run a grid of scenarios, policies and seeds; continues an interrupted run");
  command->add_option("file", options->experiment_file, "Experiment file (TOML)")->required();
  command->add_option("-o,--out", options->result_file,
                      "Results, as JSON lines; by default the experiment's name with .jsonl");
  command->add_option("--threads", options->threads, "Runs at the same time")
      ->check(CLI::Range(1u, kMaxThreads))
      ->capture_default_str();
  command->add_option("--html", options->html_file, "Plot the results into this file as well");
  command->callback([options, &exit_code] { exit_code = run_experiment(*options); });
}

void add_plot_command(CLI::App& app, int& exit_code) {
  const auto options = std::make_shared<PlotOptions>();
  CLI::App* command = app.add_subcommand("plot", "Plot results into one HTML file");
  command
      ->add_option("result", options->result_file,
                   "Results as `experiment` or `emulate --json` writes them")
      ->required();
  command->add_option("-o,--out", options->html_file,
                      "The HTML file; by default the result's name with .html");
  command->add_option("--title", options->title, "The plot's title");
  command->callback([options, &exit_code] { exit_code = plot(*options); });
}

}  // namespace

void add_emulator_commands(CLI::App& app, int& exit_code) {
  add_emulate_command(app, exit_code);
  add_experiment_command(app, exit_code);
  add_plot_command(app, exit_code);
}

}  // namespace beechhill::testbed
