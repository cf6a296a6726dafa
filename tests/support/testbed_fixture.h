// Scenarios and checks that are shared by the testbed's tests.
#pragma once

#include <gtest/gtest.h>

#include <cstdio>
#include <string>

#include "emulator/scenario.h"
#include "emulator/scenario_reader.h"
#include "testbed/load_test.h"

namespace beechhill::test {

inline emulator::Scenario parse_scenario(const std::string& toml) {
  return emulator::read_scenario(config::parse_toml(toml, "test"), "test");
}

/// Scenario with six proxies and eight backends, whose load is low enough for a build with
/// sanitizers.
inline constexpr const char* kClusterScenario = R"(
length = "8s"
warm_up = "1s"
[load]
rate = 120.0
[clients]
retry = "advised"
connections = 36
dealt_back = true
[proxies]
count = 6
notice = "300ms"
[discovery]
lag = "100ms"
spread = "100ms"
[[class]]
name = "read"
part = 0.5
repeat = "repeatable"
work = "15ms"
aim = "600ms"
deadline = "1500ms"
[[class]]
name = "write"
part = 0.3
repeat = "by_key"
group = "cell"
work = "15ms"
aim = "600ms"
deadline = "1500ms"
[[class]]
name = "once"
part = 0.2
repeat = "once"
work = "15ms"
aim = "600ms"
deadline = "1500ms"
[[tier]]
name = "front"
nodes = 8
cell_size = 4
report = { every = "300ms", delay = "100ms" }
cold = { from = 0.3, span = "2s" }
)";

/// Returns the cluster scenario with the given `[[fault]]` tables.
inline emulator::Scenario cluster_scenario(const std::string& faults = "") {
  return parse_scenario(kClusterScenario + faults);
}

/// Returns cluster_scenario(faults) with proxies that keep snapshots.
inline emulator::Scenario cluster_scenario_with_snapshots(const std::string& faults = "") {
  std::string text = kClusterScenario + faults;
  text.insert(text.find("count = 6"), "snapshot_every = \"100ms\"\n");
  return parse_scenario(text);
}

/// Runs the scenario with real proxies. Expects that no rule is violated and that every request is
/// answered unless a fault explains the missing response.
inline testbed::LoadTestResult run_without_violations(const emulator::Scenario& scenario) {
  testbed::LoadTestResult run = testbed::run_load_test(scenario, PROXY_PROGRAM);
  std::fprintf(stderr, "requests %llu goodput %.3f excused %llu snapshot requests %u\n",
               static_cast<unsigned long long>(run.requests), run.result["goodput"].asDouble(),
               static_cast<unsigned long long>(run.excused), run.max_snapshot_requests);
  EXPECT_GT(run.requests, 600u);
  EXPECT_EQ(run.violations, 0u) << run.violation_text;
  EXPECT_EQ(run.wrong_responses, 0u);
  EXPECT_EQ(run.result["all"]["unanswered"].asUInt64(), 0u);
  return run;
}

}  // namespace beechhill::test
