#include "experiments/experiment.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <sstream>

#include "emulator/scenario_file.h"
#include "emulator/scenario_reader.h"

namespace beechhill::experiments {
namespace {

constexpr std::size_t kMaxCells = 100'000;
// The system counts as recovered when its goodput is at least this share of the goodput before the
// first fault.
constexpr double kRecoveredShare = 0.95;

Json::Value to_json(const toml::node& node, const config::TomlReader& reader,
                    const std::string& key) {
  if (const auto* integer = node.as_integer()) {
    return Json::Value(static_cast<Json::Int64>(integer->get()));
  }
  if (const auto* number = node.as_floating_point()) {
    return Json::Value(number->get());
  }
  if (const auto* flag = node.as_boolean()) {
    return Json::Value(flag->get());
  }
  if (const auto* text = node.as_string()) {
    return Json::Value(text->get());
  }
  reader.throw_error(key, "values must be numbers, strings or booleans");
}

void override_with_json(toml::table& root, const std::string& path, const Json::Value& value) {
  if (value.isBool()) {
    return emulator::override_key(root, path, toml::value<bool>(value.asBool()));
  }
  if (value.isString()) {
    return emulator::override_key(root, path, toml::value<std::string>(value.asString()));
  }
  if (value.type() == Json::realValue) {
    return emulator::override_key(root, path, toml::value<double>(value.asDouble()));
  }
  emulator::override_key(root, path, toml::value<std::int64_t>(value.asInt64()));
}

// Adds to `result` the goodput before the first fault, and the time that the goodput takes to
// recover after the end of the last one. Adds nothing if the scenario has no fault or the last one
// does not end within the run.
void add_recovery(Json::Value& result, const emulator::Scenario& scenario,
                  const emulator::Metrics& metrics) {
  Duration first_begin{0};
  Duration last_end{0};
  for (const emulator::FaultSpec& fault : scenario.faults) {
    first_begin = first_begin == Duration{0} ? fault.at : std::min(first_begin, fault.at);
    last_end = std::max(last_end, fault.at + fault.length);
  }
  if (last_end <= Duration{0} || last_end >= scenario.length) {
    return;
  }
  const double before = metrics.goodput_between(scenario.warm_up, first_begin);
  result["goodput_before"] = before;
  result["recovery_s"] = metrics.recovery_s(last_end, scenario.length, kRecoveredShare * before);
}

std::string format_violation(const emulator::Violation& violation, std::uint64_t seed) {
  return fmt::format("rule {} broken: seed={} time={:.6f} request={:x}: {}\n{}",
                     emulator::name_of(violation.rule), seed, emulator::to_s(violation.at),
                     violation.request, violation.what, violation.trace);
}

std::vector<std::string> read_policies(config::TomlReader& reader) {
  std::vector<std::string> policies = reader.strings("policies");
  if (policies.empty()) {
    return {"module"};
  }
  const std::vector<std::string>& known = emulator::policy_names();
  for (const std::string& policy : policies) {
    if (std::find(known.begin(), known.end(), policy) == known.end()) {
      reader.throw_error("policies", fmt::format("unknown policy \"{}\"; accepted: {}", policy,
                                                 fmt::join(known, ", ")));
    }
  }
  return policies;
}

std::vector<std::uint64_t> read_seeds(config::TomlReader& reader) {
  const toml::node* node = reader.find("seeds");
  if (!node) {
    return {1};
  }
  const toml::array* list = node->as_array();
  if (!list || list->empty()) {
    reader.throw_error("seeds", "must be a non-empty array of whole numbers, each at least 0");
  }
  std::vector<std::uint64_t> seeds;
  for (const toml::node& element : *list) {
    const auto* seed = element.as_integer();
    if (!seed || seed->get() < 0) {
      reader.throw_error("seeds", "must be a non-empty array of whole numbers, each at least 0");
    }
    seeds.push_back(static_cast<std::uint64_t>(seed->get()));
  }
  return seeds;
}

std::vector<Axis> read_grid(config::TomlReader& reader) {
  const toml::node* node = reader.find("grid");
  if (!node) {
    return {};
  }
  const toml::table* table = node->as_table();
  if (!table) {
    reader.throw_error("grid", "not a table");
  }
  std::vector<Axis> grid;
  for (const auto& [key, values] : *table) {
    const toml::array* list = values.as_array();
    if (!list || list->empty()) {
      reader.throw_error("grid", std::string(key.str()) + ": must be a non-empty array of values");
    }
    Axis axis{std::string(key.str()), {}};
    for (const toml::node& value : *list) {
      axis.values.push_back(to_json(value, reader, "grid"));
    }
    grid.push_back(std::move(axis));
  }
  return grid;
}

void check_cell_count(const Experiment& experiment) {
  std::size_t count = experiment.policies.size() * experiment.seeds.size();
  for (const Axis& axis : experiment.grid) {
    count *= axis.values.size();
    if (count > kMaxCells) {
      throw std::invalid_argument(
          fmt::format("grid: the values, policies and seeds give more than {} cells", kMaxCells));
    }
  }
}

// Returns a hash of the scenario's content. It is part of a cell's key, so that results of an
// earlier version of the scenario do not count as finished cells.
std::string fingerprint(const toml::table& scenario) {
  std::ostringstream out;
  out << scenario;
  const std::string text = out.str();
  return fmt::format("{:016x}", XXH3_64bits(text.data(), text.size()));
}

// Appends the cells of one point of the grid. `indices` contains the index of the value on each
// axis.
void append_cells(const Experiment& experiment, const std::vector<std::size_t>& indices,
                  std::vector<Cell>& cells) {
  toml::table root = experiment.scenario;
  Json::Value params(Json::objectValue);
  for (std::size_t i = 0; i < indices.size(); ++i) {
    const Axis& axis = experiment.grid[i];
    override_with_json(root, axis.path, axis.values[indices[i]]);
    params[axis.path] = axis.values[indices[i]];
  }
  const std::string scenario_fingerprint = fingerprint(root);
  const emulator::Scenario scenario = emulator::read_scenario(root, experiment.scenario_file);
  for (const std::uint64_t seed : experiment.seeds) {
    for (const std::string& policy : experiment.policies) {
      Cell cell;
      cell.scenario = scenario;
      cell.scenario.seed = seed;
      cell.policy = policy;
      cell.labels["params"] = params;
      cell.labels["seed"] = static_cast<Json::UInt64>(seed);
      cell.labels["policy"] = policy;
      cell.labels["scenario"] = scenario.name;
      cell.labels["played"] = scenario_fingerprint;
      cell.key = to_json_line(cell.labels);
      cells.push_back(std::move(cell));
    }
  }
}

// Moves `indices` to the next point of the grid; the first axis changes fastest. Returns false
// after the last point.
bool advance(const std::vector<Axis>& grid, std::vector<std::size_t>& indices) {
  for (std::size_t i = 0; i < indices.size(); ++i) {
    ++indices[i];
    if (indices[i] < grid[i].values.size()) {
      return true;
    }
    indices[i] = 0;
  }
  return false;
}

}  // namespace

std::unique_ptr<emulator::World> make_world(const emulator::Scenario& scenario,
                                            const std::string& policy) {
  return std::make_unique<emulator::World>(
      scenario, [policy](Time now, const Settings& settings,
                         const emulator::TrueBackendState& truth, std::vector<Action>& actions) {
        return emulator::make_policy(policy, now, settings, truth, actions);
      });
}

RunOutput run_scenario(const emulator::Scenario& scenario, const std::string& policy, bool series,
                       const emulator::ProgressCallback& progress) {
  const auto start = std::chrono::steady_clock::now();
  const std::unique_ptr<emulator::World> world = make_world(scenario, policy);
  world->run(progress);
  RunOutput out;
  out.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  out.result = world->metrics().to_json(series);
  add_recovery(out.result, scenario, world->metrics());
  const emulator::RuleChecker& rules = world->rules();
  for (const emulator::Rule rule : emulator::kRules) {
    out.result["rules"][emulator::name_of(rule)] = static_cast<Json::UInt64>(rules.count(rule));
  }
  out.result["left_over"] = static_cast<Json::UInt64>(world->requests_in_flight());
  out.violations = rules.all();
  for (const emulator::Violation& violation : rules.violations()) {
    out.violation_text += format_violation(violation, scenario.seed);
  }
  return out;
}

Experiment load_experiment(const std::string& path) {
  Experiment experiment;
  const toml::table root = config::load_toml(path);
  config::TomlReader reader(root, path);
  experiment.name = reader.string("name", std::filesystem::path(path).stem().string());
  experiment.title = reader.string("title", experiment.name);
  experiment.series = reader.boolean("series", true);
  const std::string file = reader.string("scenario", "");
  if (file.empty()) {
    reader.throw_error("scenario", "missing or empty; the path of a scenario file is required");
  }
  experiment.scenario_file = (std::filesystem::path(path).parent_path() / file).string();
  experiment.scenario = emulator::load_scenario(experiment.scenario_file);
  experiment.policies = read_policies(reader);
  experiment.seeds = read_seeds(reader);
  experiment.grid = read_grid(reader);
  reader.finish();
  expand_grid(experiment);  // validates the scenario of every cell
  return experiment;
}

std::vector<Cell> expand_grid(const Experiment& experiment) {
  check_cell_count(experiment);
  std::vector<Cell> cells;
  std::vector<std::size_t> indices(experiment.grid.size(), 0);
  do {
    append_cells(experiment, indices, cells);
  } while (advance(experiment.grid, indices));
  return cells;
}

}  // namespace beechhill::experiments
