// Experiments: a scenario, a grid of parameters, policies and seeds; runs over all cores; results
// as JSON lines that an interrupted run goes on from.
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

namespace beechhill::experiments {

// One run of the emulator. `policy` must be one of policy_names(). With `series`, seconds and the
// latency CDF are in the result. Nothing in it depends on the machine's speed.
struct RunOutput {
  Json::Value result;
  std::uint64_t violations = 0;
  std::string violation_text;  // the first few, with their traces
  double wall_s = 0;           // not part of the result
};
RunOutput run_scenario(const emulator::Scenario& scenario, const std::string& policy, bool series,
                       const emulator::ProgressCallback& progress = {});

struct Axis {  // one parameter of the grid, "load.utilisation" or the like
  std::string path;
  std::vector<Json::Value> values;
};

struct Experiment {
  std::string name, title;
  toml::table scenario;  // before the grid's changes
  std::string scenario_file;
  std::vector<Axis> grid;
  std::vector<std::string> policies;
  std::vector<std::uint64_t> seeds;
  bool series = true;
};

// Reads the file, and the scenario that it names, relative to it. Every cell's scenario is read
// once, so that a faulty one is told before anything runs. Throws config::TomlFault or
// std::invalid_argument.
Experiment load_experiment(const std::string& path);

struct Cell {
  std::string key;  // what makes it this cell, as one line of JSON
  Json::Value labels;
  emulator::Scenario scenario;
  std::string policy;
};
std::vector<Cell> cells_of(const Experiment& experiment);

struct Summary {
  std::size_t run = 0, kept = 0;  // cells run now, and found finished
  bool torn = false;              // the last line of an interrupted run was not whole
  std::uint64_t module_violations = 0, plain_violations = 0;
  std::string violation_text;
};
// Runs the cells that `out_path` does not hold yet, on `threads` threads. Finished cells are kept
// in `out_path`.partial as they come; at the end they are written to `out_path` in the grid's order
// and the partial file goes. Wall times go to `out_path`.timing. Throws std::runtime_error where
// files cannot be written. `progress(done, all)` is called from one thread at a time; a `stop` that
// returns true ends after the running cells.
Summary run_experiment(const Experiment& experiment, const std::string& out_path, unsigned threads,
                       const std::function<void(std::size_t, std::size_t)>& progress = {},
                       const std::function<bool()>& stop = {});

// A world whose proxies decide by that policy, one of policy_names().
std::unique_ptr<emulator::World> world_of(const emulator::Scenario& scenario,
                                          const std::string& policy);

// One run's line in a result file, with no grid.
Json::Value row_of(const emulator::Scenario& scenario, const std::string& policy,
                   const Json::Value& result);
// Throws std::runtime_error where it cannot be written.
void write_lines(const std::string& path, const std::vector<Json::Value>& rows);

// The lines of a result file: whole ones only. `torn` tells that the last was not.
std::vector<Json::Value> read_lines(const std::string& path, bool& torn);

}  // namespace beechhill::experiments
