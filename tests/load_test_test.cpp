// Tests of load tests: the result with the real proxy and fake backends is compared with the
// emulator's result for the same scenario.
#include "testbed/load_test.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <stdexcept>

#include "experiments/experiment.h"
#include "support/testbed_fixture.h"

namespace beechhill::test {
namespace {

// Maximum difference in goodput between the real proxy and the emulator.
constexpr double kGoodputTolerance = 0.05;

// Scenario whose load is low enough for a build with sanitizers.
constexpr const char* kScenario = R"(
length = "6s"
warm_up = "1s"
[load]
rate = 60.0
[clients]
retries = 2
[[class]]
name = "read"
part = 0.7
repeat = "repeatable"
work = "20ms"
aim = "600ms"
deadline = "2s"
[[class]]
name = "write"
part = 0.3
repeat = "by_key"
group = "cell"
work = "15ms"
aim = "600ms"
deadline = "1500ms"
[[tenant]]
name = "north"
[[tier]]
name = "front"
nodes = 6
cell_size = 3
report = { every = "300ms", delay = "100ms" }
cold = { from = 0.3, span = "2s" }
)";

emulator::Scenario scenario_with(const std::string& faults) {
  return parse_scenario(kScenario + faults);
}

testbed::LoadTestResult run_and_compare_with_emulator(const emulator::Scenario& scenario) {
  const Json::Value emulated = experiments::run_scenario(scenario, "module", false).result;
  const testbed::LoadTestResult run = testbed::run_load_test(scenario, PROXY_PROGRAM);
  const Json::Value& real = run.result;
  std::fprintf(stderr, "goodput %.4f with the real proxy, %.4f in the emulator\n",
               real["goodput"].asDouble(), emulated["goodput"].asDouble());
  EXPECT_GT(run.requests, 200u);
  EXPECT_EQ(run.wrong_responses, 0u);
  EXPECT_EQ(real["all"]["asked"], emulated["all"]["asked"]) << "not the same clients";
  EXPECT_EQ(real["all"]["unanswered"].asUInt64(), 0u);
  EXPECT_NEAR(real["goodput"].asDouble(), emulated["goodput"].asDouble(), kGoodputTolerance);
  return run;
}

TEST(LoadTest, SendsEachRequestOnceWhenNothingFails) {
  const testbed::LoadTestResult run = run_and_compare_with_emulator(scenario_with(""));
  EXPECT_EQ(run.result["attempts"].asUInt64(), run.requests);
}

TEST(LoadTest, AgreesWithTheEmulatorWhenBackendsCrashDrainAndFail) {
  run_and_compare_with_emulator(scenario_with(
      "[[fault]]\nkind = \"crash\"\nat = \"1500ms\"\nfor = \"1500ms\"\nnodes = 1\n"
      "[[fault]]\nkind = \"drain\"\nat = \"1s\"\nfor = \"3s\"\nnodes = 1\n"
      "[[fault]]\nkind = \"errors\"\nat = \"3s\"\nfor = \"1s\"\nnodes = 1\nfactor = 0.5\n"));
}

TEST(LoadTest, AgreesWithTheEmulatorWhenTheProxyRestarts) {
  const testbed::LoadTestResult run = run_and_compare_with_emulator(scenario_with(
      "[[fault]]\nkind = \"proxy_crash\"\nat = \"3s\"\nfor = \"800ms\"\npart = 1.0\n"));
  EXPECT_GT(run.result["unreachable"].asUInt64(), 0u);
}

TEST(LoadTest, RejectsFaultsThatRealProcessesDoNotSupport) {
  const emulator::Scenario scenario = scenario_with("[[fault]]\nkind = \"replace\"\nat = \"1s\"\n");
  EXPECT_THROW(testbed::run_load_test(scenario, PROXY_PROGRAM), std::invalid_argument);
}

}  // namespace
}  // namespace beechhill::test
