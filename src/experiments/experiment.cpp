#include "experiments/experiment.h"

#include <fmt/format.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace beechhill::experiments {
namespace {

constexpr std::size_t kMostCells = 100'000;

std::string one_line(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["precision"] = 9;  // enough to tell results apart, and the same text for the same result
  return Json::writeString(builder, value);
}

Json::Value json_of(const toml::node& node, const config::TomlReader& r, const std::string& key) {
  if (node.is_integer()) {
    return Json::Value(static_cast<Json::Int64>(*node.value<std::int64_t>()));
  }
  if (node.is_floating_point()) {
    return Json::Value(*node.value<double>());
  }
  if (node.is_boolean()) {
    return Json::Value(*node.value<bool>());
  }
  if (node.is_string()) {
    return Json::Value(*node.value<std::string>());
  }
  r.fault(key, "only numbers, texts and booleans can vary");
}

void put(toml::table& root, const std::string& path, const Json::Value& value) {
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

struct FileCloser {
  void operator()(std::FILE* f) const { std::fclose(f); }
};
using File = std::unique_ptr<std::FILE, FileCloser>;

File open_file(const std::string& path, const char* mode) {
  File f(std::fopen(path.c_str(), mode));
  if (!f) {
    throw std::runtime_error(path + ": cannot be written");
  }
  return f;
}
void write_line(std::FILE* f, const std::string& path, const std::string& line) {
  if (std::fwrite(line.data(), 1, line.size(), f) != line.size() || std::fputc('\n', f) == EOF ||
      std::fflush(f) != 0) {
    throw std::runtime_error(path + ": cannot be written");
  }
}

}  // namespace

std::unique_ptr<emulator::World> world_of(const emulator::Scenario& scenario,
                                          const std::string& policy) {
  return std::make_unique<emulator::World>(
      scenario, [policy](Time now, const Settings& settings, const emulator::TrueState& truth,
                         std::vector<Action>& actions) {
        return emulator::make_policy(policy, now, settings, truth, actions);
      });
}

Json::Value row_of(const emulator::Scenario& scenario, const std::string& policy,
                   const Json::Value& result) {
  Json::Value row;
  row["cell"]["policy"] = policy;
  row["cell"]["seed"] = static_cast<Json::UInt64>(scenario.seed);
  row["cell"]["scenario"] = scenario.name;
  row["cell"]["params"] = Json::Value(Json::objectValue);
  row["result"] = result;
  return row;
}

void write_lines(const std::string& path, const std::vector<Json::Value>& rows) {
  std::ofstream out(path);
  for (const Json::Value& row : rows) {
    out << one_line(row) << "\n";
  }
  if (!out.flush()) {
    throw std::runtime_error(path + ": cannot be written");
  }
}

RunOutput run_scenario(const emulator::Scenario& scenario, const std::string& policy, bool series,
                       const emulator::ProgressCallback& progress) {
  const auto begun = std::chrono::steady_clock::now();
  const std::unique_ptr<emulator::World> played = world_of(scenario, policy);
  emulator::World& world = *played;
  world.run(progress);
  RunOutput out;
  out.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
  out.result = world.metrics().to_json(series);
  // How long the goodput takes to come back after the last fault that ends.
  Duration from{0}, to{0};
  for (const emulator::FaultSpec& f : scenario.faults) {
    from = from == Duration{0} ? f.at : std::min(from, f.at);
    to = std::max(to, f.at + f.length);
  }
  if (to > Duration{0} && to < scenario.length) {
    const double before = world.metrics().goodput_between(scenario.warm_up, from);
    out.result["goodput_before"] = before;
    out.result["recovery_s"] = world.metrics().recovery_s(to, scenario.length, 0.95 * before);
  }
  const emulator::RuleChecker& rules = world.rules();
  for (const emulator::Rule rule : emulator::kRules) {
    out.result["rules"][emulator::name_of(rule)] = static_cast<Json::UInt64>(rules.count(rule));
  }
  out.result["left_over"] = static_cast<Json::UInt64>(world.left_over());
  out.violations = rules.all();
  for (const emulator::Violation& v : rules.violations()) {
    out.violation_text += fmt::format(
        "rule {} broken: seed={} time={:.6f} request={:x}: {}\n{}", emulator::name_of(v.rule),
        scenario.seed, std::chrono::duration<double>(v.at).count(), v.request, v.what, v.trace);
  }
  return out;
}

Experiment load_experiment(const std::string& path) {
  Experiment e;
  const toml::table root = config::load_toml(path);
  config::TomlReader r(root, path);
  e.name = r.text("name", std::filesystem::path(path).stem().string());
  e.title = r.text("title", e.name);
  e.series = r.flag("series", true);
  const std::string file = r.text("scenario", "");
  if (file.empty()) {
    r.fault("scenario", "missing");
  }
  e.scenario_file = (std::filesystem::path(path).parent_path() / file).string();
  e.scenario = emulator::load_scenario(e.scenario_file);
  e.policies = r.texts("policies");
  if (e.policies.empty()) {
    e.policies = {"module"};
  }
  for (const std::string& p : e.policies) {
    if (std::find(emulator::policy_names().begin(), emulator::policy_names().end(), p) ==
        emulator::policy_names().end()) {
      r.fault("policies", "unknown: " + p);
    }
  }
  if (const toml::node* seeds = r.raw("seeds")) {
    const toml::array* list = seeds->as_array();
    if (!list || list->empty()) {
      r.fault("seeds", "not an array of whole numbers");
    }
    for (const toml::node& seed : *list) {
      if (!seed.is_integer() || *seed.value<std::int64_t>() < 0) {
        r.fault("seeds", "not an array of whole numbers");
      }
      e.seeds.push_back(static_cast<std::uint64_t>(*seed.value<std::int64_t>()));
    }
  } else {
    e.seeds = {1};
  }
  if (const toml::node* grid = r.raw("grid")) {
    const toml::table* table = grid->as_table();
    if (!table) {
      r.fault("grid", "not a table");
    }
    for (const auto& [key, node] : *table) {
      const toml::array* list = node.as_array();
      if (!list || list->empty()) {
        r.fault("grid", std::string(key.str()) + " is not an array of values");
      }
      Axis axis{std::string(key.str()), {}};
      for (const toml::node& v : *list) {
        axis.values.push_back(json_of(v, r, "grid"));
      }
      e.grid.push_back(std::move(axis));
    }
  }
  r.finish();
  cells_of(e);
  return e;
}

std::vector<Cell> cells_of(const Experiment& e) {
  std::size_t count = e.policies.size() * e.seeds.size();
  for (const Axis& axis : e.grid) {
    count *= axis.values.size();
    if (count > kMostCells) {
      throw std::invalid_argument("grid: more than 100000 cells");
    }
  }
  std::vector<Cell> cells;
  std::vector<std::size_t> at(e.grid.size(), 0);
  for (;;) {
    toml::table root = e.scenario;
    Json::Value params(Json::objectValue);
    for (std::size_t i = 0; i < at.size(); ++i) {
      const Axis& axis = e.grid[i];
      put(root, axis.path, axis.values[at[i]]);
      params[axis.path] = axis.values[at[i]];
    }
    std::ostringstream
        text;  // what is played, so that a changed scenario is not taken for a finished one
    text << root;
    const std::string played = text.str();
    const emulator::Scenario scenario = emulator::read_scenario(root, e.scenario_file);
    for (const std::uint64_t seed : e.seeds) {
      for (const std::string& policy : e.policies) {
        Cell cell;
        cell.scenario = scenario;
        cell.scenario.seed = seed;
        cell.policy = policy;
        cell.labels["params"] = params;
        cell.labels["seed"] = static_cast<Json::UInt64>(seed);
        cell.labels["policy"] = policy;
        cell.labels["scenario"] = scenario.name;
        cell.labels["played"] = fmt::format("{:016x}", XXH3_64bits(played.data(), played.size()));
        cell.key = one_line(cell.labels);
        cells.push_back(std::move(cell));
      }
    }
    std::size_t i = 0;
    while (i < at.size() && ++at[i] == e.grid[i].values.size()) {
      at[i++] = 0;
    }
    if (i == at.size()) {
      return cells;
    }
  }
}

std::vector<Json::Value> read_lines(const std::string& path, bool& torn) {
  std::vector<Json::Value> rows;
  std::ifstream in(path, std::ios::binary);
  std::string line;
  torn = false;
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  while (std::getline(in, line)) {
    Json::Value row;
    std::string errors;
    const bool whole = !in.eof() &&
                       reader->parse(line.data(), line.data() + line.size(), &row, &errors) &&
                       row.isObject() && row.isMember("cell");
    if (whole) {
      rows.push_back(std::move(row));
    } else {
      torn = true;  // and whatever stands behind it is still read
    }
  }
  return rows;
}

Summary run_experiment(const Experiment& e, const std::string& out_path, unsigned threads,
                       const std::function<void(std::size_t, std::size_t)>& progress,
                       const std::function<bool()>& stop) {
  const std::vector<Cell> cells = cells_of(e);
  const std::string partial = out_path + ".partial", timing = out_path + ".timing";
  Summary summary;
  std::map<std::string, std::string> done;  // line by cell
  for (const std::string& path : {out_path, partial}) {
    bool torn = false;
    for (const Json::Value& row : read_lines(path, torn)) {
      done[one_line(row["cell"])] = one_line(row);
    }
    summary.torn = summary.torn || torn;
  }
  std::vector<std::size_t> todo;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    if (!done.contains(cells[i].key)) {
      todo.push_back(i);
    }
  }
  summary.kept = cells.size() - todo.size();

  File kept =
      open_file(partial, "wb");  // begins with what was whole: a torn line is not appended to
  for (const Cell& cell : cells) {
    if (const auto it = done.find(cell.key); it != done.end()) {
      write_line(kept.get(), partial, it->second);
    }
  }
  const File times = open_file(timing, "ab");

  std::atomic<std::size_t> next{0};
  std::mutex mutex;
  std::exception_ptr error;
  const auto work = [&] {
    for (;;) {
      if (stop && stop()) {
        return;
      }
      const std::size_t i = next++;
      if (i >= todo.size()) {
        return;
      }
      const Cell& cell = cells[todo[i]];
      try {
        RunOutput out = run_scenario(cell.scenario, cell.policy, e.series);
        Json::Value row;
        row["cell"] = cell.labels;
        row["result"] = std::move(out.result);
        const std::string line = one_line(row);
        const std::lock_guard lock(mutex);
        write_line(kept.get(), partial, line);
        write_line(
            times.get(), timing,
            fmt::format(
                R"({{"cell":{},"wall_s":{:.3f},"events_per_s":{:.0f},"us_per_decision":{:.3f}}})",
                cell.key, out.wall_s, row["result"]["events"].asDouble() / out.wall_s,
                1e6 * out.wall_s / std::max(1.0, row["result"]["decisions"].asDouble())));
        done[cell.key] = line;
        ++summary.run;
        (cell.policy == "module" ? summary.module_violations : summary.plain_violations) +=
            out.violations;
        if (cell.policy == "module" && summary.violation_text.size() < 64 * 1024) {
          summary.violation_text += out.violation_text;
        }
        if (progress) {
          progress(summary.kept + summary.run, cells.size());
        }
      } catch (...) {
        const std::lock_guard lock(mutex);
        error = std::current_exception();
        next = todo.size();
      }
    }
  };
  std::vector<std::thread> pool;
  for (unsigned i = 0; i < std::max(1u, threads); ++i) {
    pool.emplace_back(work);
  }
  for (std::thread& t : pool) {
    t.join();
  }
  if (error) {
    std::rethrow_exception(error);
  }
  kept.reset();
  if (done.size() < cells.size()) {
    return summary;  // stopped early: the partial file holds what there is
  }

  const std::string fresh = out_path + ".new";
  {
    const File f = open_file(fresh, "wb");
    for (const Cell& cell : cells) {
      write_line(f.get(), fresh, done.at(cell.key));
    }
    if (::fsync(::fileno(f.get())) != 0) {
      throw std::runtime_error(fresh + ": cannot be written");
    }
  }
  std::filesystem::rename(fresh, out_path);
  std::filesystem::remove(partial);
  return summary;
}

}  // namespace beechhill::experiments
