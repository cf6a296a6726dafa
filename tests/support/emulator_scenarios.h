/// Scenarios for the emulator's tests, read from a string or from the files in experiments/. The
/// macro EXPERIMENTS must be defined as the path of that directory.
#pragma once

#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "emulator/policy.h"
#include "emulator/scenario_file.h"
#include "emulator/scenario_reader.h"

namespace beechhill::test {

inline emulator::Scenario scenario_of(const std::string& text) {
  return emulator::read_scenario(config::parse_toml(text, "test"), "test");
}

inline emulator::Scenario shipped_scenario(const std::string& name) {
  const std::string path = std::string(EXPERIMENTS) + "/" + name + ".toml";
  return emulator::read_scenario(emulator::load_scenario(path), path);
}

/// Creates the production balancer as the policy of a proxy.
inline std::unique_ptr<emulator::Policy> make_module_policy(
    Time now, const Settings& settings, const emulator::TrueBackendState& true_state,
    std::vector<Action>& actions) {
  return emulator::make_policy("module", now, settings, true_state, actions);
}

inline std::string bytes_of(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace beechhill::test
