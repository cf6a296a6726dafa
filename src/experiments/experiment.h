/// An experiment runs a scenario for each combination of parameter values, policies and seeds, in
/// parallel, and writes each result as one line of JSON. After an interruption, the next run keeps
/// the finished results.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "emulator/scenario_file.h"
#include "emulator/scenario_reader.h"
#include "emulator/world.h"
#include "experiments/result_file.h"

namespace beechhill::experiments {

/// The outcome of one run of the emulator.
struct RunOutput {
  /// Metrics of the run. They do not depend on the machine's speed.
  Json::Value result;
  std::uint64_t violations = 0;
  /// The first few violations with their traces, as text.
  std::string violation_text;
  /// Wall time of the run in seconds. Not part of `result`, which must be reproducible.
  double wall_s = 0;
};

/// Creates the emulator's world for the scenario. Its proxies use `policy`, which must be one of
/// emulator::policy_names().
std::unique_ptr<emulator::World> make_world(const emulator::Scenario& scenario,
                                            const std::string& policy);

/// Runs a scenario to its end. `policy` must be one of emulator::policy_names(). With `series`, the
/// result includes the time series by second and the latency distribution.
RunOutput run_scenario(const emulator::Scenario& scenario, const std::string& policy, bool series,
                       const emulator::ProgressCallback& progress = {});

/// One parameter of the grid and the values that it takes. `path` is a key of the scenario, such as
/// "load.utilisation".
struct Axis {
  std::string path;
  std::vector<Json::Value> values;
};

struct Experiment {
  std::string name;
  std::string title;
  /// The scenario file's content, before values of the grid are set.
  toml::table scenario;
  std::string scenario_file;
  std::vector<Axis> grid;
  std::vector<std::string> policies;
  std::vector<std::uint64_t> seeds;
  /// Whether results include the time series and the latency distribution.
  bool series = true;
};

/// Reads an experiment file and the scenario file that it names by a path relative to its own.
/// Validates the scenario of every cell, so that errors are reported before any cell runs. Throws
/// config::TomlError or std::invalid_argument.
Experiment load_experiment(const std::string& path);

/// One run of an experiment: a point of the grid with a policy and a seed.
struct Cell {
  /// `labels` as one line of JSON, unique to the cell.
  std::string key;
  /// Parameter values, seed, policy, and name and fingerprint of the scenario.
  Json::Value labels;
  emulator::Scenario scenario;
  std::string policy;
};

/// Returns all cells in the grid's order. Throws std::invalid_argument if there are more than
/// 100,000.
std::vector<Cell> expand_grid(const Experiment& experiment);

/// The outcome of one call of run_experiment().
struct Summary {
  /// Number of cells that this call ran.
  std::size_t run = 0;
  /// Number of cells whose results were already in the result file or the partial file.
  std::size_t already_finished = 0;
  /// Whether one of the files contained an incomplete line, which an interrupted run can leave.
  bool torn = false;
  /// Number of rule violations in the new runs of policy "module".
  std::uint64_t module_violations = 0;
  /// Number of rule violations in the new runs of the other policies.
  std::uint64_t baseline_violations = 0;
  /// The first rule violations in the new runs of policy "module", with their traces; about 64 KiB
  /// of text at most.
  std::string violation_text;
};

/// Runs, on `threads` threads, the cells whose results are neither in `out_path` nor in
/// `out_path`.partial. Appends each result to `out_path`.partial as its cell finishes. When all
/// cells have finished, writes the results to `out_path` in the grid's order and removes the
/// partial file. Appends wall times to `out_path`.timing.
///
/// `progress(done, all)` is called by one thread at a time. `stop` is called concurrently by all
/// threads; once it returns true, no further cell is started and the call returns after the running
/// ones. Throws std::runtime_error if a file cannot be written.
Summary run_experiment(const Experiment& experiment, const std::string& out_path, unsigned threads,
                       const std::function<void(std::size_t, std::size_t)>& progress = {},
                       const std::function<bool()>& stop = {});

}  // namespace beechhill::experiments
