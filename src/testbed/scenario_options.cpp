#include "testbed/scenario_options.h"

#include "config/toml_reader.h"
#include "emulator/scenario_file.h"
#include "emulator/scenario_reader.h"

namespace beechhill::testbed {

namespace {

// Demo scenario with sixteen small backends, two of which become unresponsive for 6 s and then
// return with slow start.
constexpr const char* kDemoScenario = R"(
name = "demo"
length = "20s"
warm_up = "2s"
[load]
utilisation = 0.5
[clients]
retries = 2
[[class]]
name = "read"
part = 0.7
repeat = "repeatable"
work = "20ms"
aim = "400ms"
deadline = "1500ms"
[[class]]
name = "write"
part = 0.3
repeat = "by_key"
group = "cell"
work = "15ms"
aim = "300ms"
deadline = "1s"
worth = 3
[[tenant]]
name = "north"
share = 0.6
[[tenant]]
name = "south"
share = 0.4
[[tier]]
name = "front"
nodes = 16
cores = 1
slots = 8
room = 16
speed = [0.7, 1.1]
cold = { from = 0.2, span = "5s" }
report = { every = "500ms", delay = "100ms", noise = 0.02 }
[[fault]]
kind = "silent"
at = "7s"
for = "6s"
nodes = 2
)";

}  // namespace

void add_scenario_options(CLI::App& command, ScenarioOptions& options) {
  command.add_option("--seed", options.seed, "Seed that replaces the scenario's")
      ->check(CLI::NonNegativeNumber);
  command.add_option(
      "--set", options.overrides,
      "KEY=VALUE that overrides a setting of the scenario, such as load.utilisation=1.2 or "
      "fault.0.part=0.7");
}

emulator::Scenario load_scenario(const ScenarioOptions& options) {
  toml::table root = emulator::load_scenario(options.file);
  for (const std::string& change : options.overrides) {
    emulator::override_from(root, change);
  }
  emulator::Scenario scenario = emulator::read_scenario(root, options.file);
  if (options.seed >= 0) {
    scenario.seed = static_cast<std::uint64_t>(options.seed);
  }
  return scenario;
}

emulator::Scenario load_scenario_or_demo(const std::string& file) {
  if (file.empty()) {
    return emulator::read_scenario(config::parse_toml(kDemoScenario, "demo"), "demo");
  }
  return emulator::read_scenario(emulator::load_scenario(file), file);
}

}  // namespace beechhill::testbed
