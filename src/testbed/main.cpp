// beechhill-testbed: the emulator, experiments and plots. Exit codes: 0 done, 1 a fault of the
// machine or the files, 2 faulty arguments or input, 3 a rule was broken, 4 stopped before the end.
#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

#include "experiments/experiment.h"
#include "experiments/plot.h"
#include "testbed/cluster_test/cluster_test.h"
#include "testbed/load_test.h"
#ifdef BEECHHILL_CLUSTER
#include "testbed/simulation_commands.h"
#endif

namespace {

using namespace beechhill;

enum Exit { kDone = 0, kFault = 1, kBadInput = 2, kRuleBroken = 3, kStopped = 4 };

std::atomic<bool> stop_asked{false};
void ask_stop(int) {
  stop_asked = true;
}

// One line that is written over, on a terminal only.
class ProgressLine {
 public:
  ProgressLine() : shown_(::isatty(STDERR_FILENO) == 1) {}
  ~ProgressLine() {
    if (shown_ && written_) {
      std::fputs("\r\033[K", stderr);
    }
  }
  void show(const std::string& text) {
    if (!shown_) {
      return;
    }
    written_ = true;
    std::fprintf(stderr, "\r\033[K%s", text.c_str());
    std::fflush(stderr);
  }

 private:
  bool shown_, written_ = false;
};

double peak_mib() {
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  return static_cast<double>(used.ru_maxrss) / 1024;
}

void print_summary(const Json::Value& r, const emulator::Scenario& s, const std::string& policy) {
  fmt::print("{}  policy={} seed={}  {:.1f} requests/s for {:g} s, capacity {:.1f}/s\n", s.name,
             policy, s.seed, emulator::rate_per_s(s),
             std::chrono::duration<double>(s.length).count(), emulator::capacity_per_s(s));
  fmt::print("{:<20} {:>9} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9}\n", "", "asked", "goodput",
             "late", "refused", "failed", "p50 ms", "p99 ms", "p99.9 ms");
  const auto line = [](const std::string& name, const Json::Value& c,
                       const Json::Value* quantiles) {
    fmt::print("{:<20} {:>9} {:>8.4f} {:>8} {:>8} {:>8}", name, c["asked"].asUInt64(),
               c["goodput"].asDouble(), c["late"].asUInt64(), c["refused"].asUInt64(),
               c["failed"].asUInt64());
    if (quantiles) {
      fmt::print(" {:>9.2f} {:>9.2f} {:>9.2f}", 1e3 * (*quantiles)["p50_s"].asDouble(),
                 1e3 * (*quantiles)["p99_s"].asDouble(), 1e3 * (*quantiles)["p999_s"].asDouble());
    }
    fmt::print("\n");
  };
  Json::Value all = r["all"];
  line("all", all, &r);
  for (const std::string& name : r["classes"].getMemberNames()) {
    line("class " + name, r["classes"][name], &r["classes"][name]);
  }
  for (const std::string& name : r["tenants"].getMemberNames()) {
    line("tenant " + name, r["tenants"][name], nullptr);
  }
  fmt::print(
      "tries/request {:.3f}  attempts/request {:.3f}  waste {:.4f}  connections {}  tipped {}",
      r["tries_per_request"].asDouble(), r["attempts_per_request"].asDouble(),
      r["waste"].asDouble(), r["connections"].asUInt64(), r["tipped"].asUInt64());
  if (r.isMember("recovery_s")) {
    fmt::print("  recovery {:g} s", r["recovery_s"].asDouble());
  }
  fmt::print("\nrules broken:");
  for (const std::string& rule : r["rules"].getMemberNames()) {
    fmt::print(" {}={}", rule, r["rules"][rule].asUInt64());
  }
  fmt::print("\n");
}

struct EmulateOptions {
  std::string file, policy = "module", json;
  std::vector<std::string> changes;
  std::int64_t seed = -1;
};

int emulate(const EmulateOptions& o) {
  toml::table root = emulator::load_scenario(o.file);
  for (const std::string& change : o.changes) {
    emulator::override_from(root, change);
  }
  emulator::Scenario scenario = emulator::read_scenario(root, o.file);
  if (o.seed >= 0) {
    scenario.seed = static_cast<std::uint64_t>(o.seed);
  }
  experiments::RunOutput out;
  {
    ProgressLine progress;
    out = experiments::run_scenario(scenario, o.policy, !o.json.empty(), [&progress](double part) {
      progress.show(fmt::format("{:3.0f} %", 100 * part));
    });
  }
  print_summary(out.result, scenario, o.policy);
  std::fprintf(stderr, "%.2f s, %.0f events/s, %.1f us/decision, %.0f MiB at the peak\n",
               out.wall_s, out.result["events"].asDouble() / out.wall_s,
               1e6 * out.wall_s / std::max(1.0, out.result["decisions"].asDouble()), peak_mib());
  if (!o.json.empty()) {
    experiments::write_lines(o.json, {experiments::row_of(scenario, o.policy, out.result)});
  }
  if (out.violations > 0) {
    std::fputs(out.violation_text.c_str(), stderr);
    return kRuleBroken;
  }
  return kDone;
}

int experiment(const std::string& file, std::string out, unsigned threads,
               const std::string& html) {
  const experiments::Experiment e = experiments::load_experiment(file);
  if (out.empty()) {
    out = e.name + ".jsonl";
  }
  std::signal(SIGINT, ask_stop);
  std::signal(SIGTERM, ask_stop);
  experiments::Summary summary;
  {
    ProgressLine progress;
    summary = experiments::run_experiment(
        e, out, threads,
        [&progress](std::size_t done, std::size_t all) {
          progress.show(fmt::format("{} of {} cells", done, all));
        },
        [] { return stop_asked.load(); });
  }
  if (summary.torn) {
    std::fputs("an interrupted run left a torn line: that cell was run again\n", stderr);
  }
  fmt::print("{}: {} cells run, {} found finished, results in {}\n", e.name, summary.run,
             summary.kept, out);
  if (stop_asked) {
    std::fputs("stopped: the same command goes on from here\n", stderr);
    return kStopped;
  }
  if (!html.empty()) {
    bool torn = false;
    const std::string page =
        experiments::html_report(e.title, experiments::read_lines(out, torn),
                                 experiments::read_lines(out + ".timing", torn));
    std::ofstream f(html);
    if (!(f << page).flush()) {
      throw std::runtime_error(html + ": cannot be written");
    }
  }
  if (summary.plain_violations > 0) {
    fmt::print("plain policies broke rules {} times; see \"rules\" in the results\n",
               summary.plain_violations);
  }
  if (summary.module_violations > 0) {
    std::fputs(summary.violation_text.c_str(), stderr);
    return kRuleBroken;
  }
  return kDone;
}

int plot(const std::string& in, std::string out, const std::string& title) {
  if (!std::filesystem::exists(in)) {
    throw config::TomlError(in + ": cannot be read");
  }
  bool torn = false, ignored = false;
  const std::vector<Json::Value> rows = experiments::read_lines(in, torn);
  if (torn) {
    std::fputs("a line is not whole and is left out\n", stderr);
  }
  if (out.empty()) {
    out = std::filesystem::path(in).replace_extension(".html").string();
  }
  const std::string page = experiments::html_report(
      title.empty() ? in : title, rows, experiments::read_lines(in + ".timing", ignored));
  std::ofstream f(out);
  if (!(f << page).flush()) {
    throw std::runtime_error(out + ": cannot be written");
  }
  fmt::print("{}\n", out);
  return kDone;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "beechhill-testbed: an emulator of what beechhill balances, experiments on it, and stand-in "
      "nodes"};
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 done, 1 a fault of the machine or a file, 2 faulty arguments or input, 3 a "
      "rule was "
      "broken, 4 stopped before the end.");
  int code = kDone;

  EmulateOptions emulate_options;
  CLI::App* c = app.add_subcommand("emulate",
                                   "Play one scenario in simulated time and print what came of it");
  c->add_option("scenario", emulate_options.file, "Scenario file (TOML)")->required();
  c->add_option("--policy", emulate_options.policy, "Who decides")
      ->check(CLI::IsMember(emulator::policy_names()))
      ->capture_default_str();
  c->add_option("--seed", emulate_options.seed, "In place of the scenario's seed")
      ->check(CLI::NonNegativeNumber);
  c->add_option("--set", emulate_options.changes,
                "KEY=VALUE in place of the scenario's, such as load.utilisation=1.2");
  c->add_option("--json", emulate_options.json,
                "Write the whole result here, as one line that `plot` reads");
  c->callback([&] { code = emulate(emulate_options); });

  std::string file, out, html, title;
  unsigned threads = std::max(1u, std::thread::hardware_concurrency());
  c = app.add_subcommand(
      "experiment", "Run a grid of scenarios, policies and seeds; goes on where it was stopped");
  c->add_option("file", file, "Experiment file (TOML)")->required();
  c->add_option("-o,--out", out,
                "Results, as JSON lines; the experiment's name and .jsonl if absent");
  c->add_option("--threads", threads, "Runs at the same time")
      ->check(CLI::Range(1u, 256u))
      ->capture_default_str();
  c->add_option("--html", html, "Draw the results into this page, too");
  c->callback([&] { code = experiment(file, out, threads, html); });

  c = app.add_subcommand("plot", "Draw results into one HTML page");
  c->add_option("result", file, "Results as experiment or emulate --json writes them")->required();
  c->add_option("-o,--out", out, "The page; the result's name with .html if absent");
  c->add_option("--title", title, "Its heading");
  c->callback([&] { code = plot(file, out, title); });

  testbed::add_socket_commands(app, code);
  testbed::add_fleet_command(app, code);
#ifdef BEECHHILL_CLUSTER
  testbed::add_membership_command(app, code);
  testbed::add_works_command(app, code);
#endif

  c = app.add_subcommand("version", "Print the version");
  c->callback([] { fmt::print("beechhill-testbed {}\n", BEECHHILL_VERSION); });

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kDone : kBadInput;
  } catch (const config::TomlError& error) {
    std::fprintf(stderr, "beechhill-testbed: %s\n", error.what());
    return kBadInput;
  } catch (const std::invalid_argument& error) {
    std::fprintf(stderr, "beechhill-testbed: %s\n", error.what());
    return kBadInput;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "beechhill-testbed: %s\n", error.what());
    return kFault;
  }
  return code;
}
