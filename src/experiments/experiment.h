/// Experiments: a scenario, a grid of parameters, policies and seeds; runs over all cores; results
/// as JSON lines that an interrupted run goes on from.
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

/// What one run of the emulator gave.
struct RunOutput {
  /// Does not depend on the machine's speed.
  Json::Value result;
  std::uint64_t violations = 0;
  /// The first few, with their traces.
  std::string violation_text;
  /// Not part of the result.
  double wall_s = 0;
};

/// A world whose proxies decide by that policy, one of policy_names().
std::unique_ptr<emulator::World> world_of(const emulator::Scenario& scenario,
                                          const std::string& policy);

/// Plays a scenario. `policy` must be one of policy_names(). With `series`, the seconds and the
/// latency distribution are in the result.
RunOutput run_scenario(const emulator::Scenario& scenario, const std::string& policy, bool series,
                       const emulator::ProgressCallback& progress = {});

/// One parameter of the grid, such as "load.utilisation", and its values.
struct Axis {
  std::string path;
  std::vector<Json::Value> values;
};

struct Experiment {
  std::string name;
  std::string title;
  /// Before the grid's changes.
  toml::table scenario;
  std::string scenario_file;
  std::vector<Axis> grid;
  std::vector<std::string> policies;
  std::vector<std::uint64_t> seeds;
  /// Whether results have the time series and the latency distribution.
  bool series = true;
};

/// Reads the file, and the scenario that it names, relative to it. Every cell's scenario is read
/// once, so that a faulty one is reported before anything runs. Throws config::TomlError or
/// std::invalid_argument.
Experiment load_experiment(const std::string& path);

/// One run of the grid.
struct Cell {
  /// What makes it this cell, as one line of JSON.
  std::string key;
  Json::Value labels;
  emulator::Scenario scenario;
  std::string policy;
};

/// All cells, in the grid's order. Throws std::invalid_argument where there are too many.
std::vector<Cell> cells_of(const Experiment& experiment);

struct Summary {
  /// Cells that were run now, and cells that were found finished.
  std::size_t run = 0;
  std::size_t kept = 0;
  /// The last line of an interrupted run was not complete.
  bool torn = false;
  std::uint64_t module_violations = 0;
  std::uint64_t plain_violations = 0;
  std::string violation_text;
};

/// Runs the cells that `out_path` does not hold yet, on `threads` threads. Finished cells are kept
/// in `out_path`.partial as they come; at the end they are written to `out_path` in the grid's
/// order and the partial file is removed. Wall times go to `out_path`.timing. Throws
/// std::runtime_error where files cannot be written. `progress(done, all)` is called by one thread
/// at a time; a `stop` that returns true ends the experiment after the running cells; it is called
/// from all threads.
Summary run_experiment(const Experiment& experiment, const std::string& out_path, unsigned threads,
                       const std::function<void(std::size_t, std::size_t)>& progress = {},
                       const std::function<bool()>& stop = {});

}  // namespace beechhill::experiments
