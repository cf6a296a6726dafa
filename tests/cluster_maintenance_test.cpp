// Runs proxy processes that coordinate maintenance in front of fake backends, with injected faults.
// Checks that no request reaches a backend that is out, that the number of backends that the
// emulated operators see out at the same time stays within the disruption budget, and that clients
// receive correct responses.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>

#include "emulator/scenario_reader.h"
#include "support/fault_plan_text.h"
#include "support/proxy_fixture.h"
#include "testbed/load_test.h"

namespace beechhill::test {
namespace {

// Five proxies, three of them voters, in front of eight backends. Taking every backend out once
// takes about ten seconds.
constexpr const char* kScenario = R"(
length = "18s"
warm_up = "1s"
[load]
rate = 100.0
[clients]
retry = "advised"
connections = 30
dealt_back = true
[proxies]
count = 5
notice = "300ms"
[discovery]
lag = "100ms"
spread = "100ms"
[group]
voters = 3
lease = "1500ms"
[rules]
drain_grace = "400ms"
[[class]]
name = "read"
part = 0.7
repeat = "repeatable"
work = "10ms"
aim = "600ms"
deadline = "1500ms"
[[class]]
name = "once"
part = 0.3
repeat = "once"
work = "10ms"
aim = "600ms"
deadline = "1500ms"
[[tier]]
name = "front"
nodes = 8
cell_size = 4
report = { every = "300ms", delay = "100ms" }
cold = { from = 0.5, span = "400ms" }
)";

emulator::Scenario scenario_with(const std::string& faults, const std::string& group = "") {
  std::string text = kScenario + faults;
  text.insert(text.find("voters = 3"), group);
  return emulator::read_scenario(config::parse_toml(text, "scenario"), "scenario");
}

void print_summary(const testbed::LoadTestResult& run) {
  std::fprintf(
      stderr,
      "requests %llu, goodput %.3f, excused %llu, backends taken out %u, at most %u together, "
      "open maintenance requests %u, attempts during maintenance %llu, completed after "
      "%.1f s\n%s%s\n",
      static_cast<unsigned long long>(run.requests), run.result["goodput"].asDouble(),
      static_cast<unsigned long long>(run.excused), run.backends_maintained, run.max_backends_out,
      run.open_requests, static_cast<unsigned long long>(run.attempts_during_maintenance),
      std::chrono::duration<double>(run.maintenance_completed_at).count(),
      run.violation_text.c_str(), run.last_maintenance_status.c_str());
}

testbed::LoadTestResult run_and_check(const emulator::Scenario& scenario) {
  testbed::LoadTestResult run = testbed::run_load_test(scenario, PROXY_PROGRAM);
  print_summary(run);
  EXPECT_EQ(run.attempts_during_maintenance, 0u);
  EXPECT_LE(run.max_backends_out, scenario.group.most_out);
  EXPECT_EQ(run.violations, 0u);
  EXPECT_EQ(run.wrong_responses, 0u);
  EXPECT_EQ(run.result["all"]["unanswered"].asUInt64(), 0u);
  EXPECT_GT(run.requests, 800u);
  EXPECT_GT(run.backends_maintained, 0u);
  return run;
}

TEST(ClusterMaintenance, TakesEveryBackendOutOnce) {
  const emulator::Scenario scenario = scenario_with("");
  const testbed::LoadTestResult run = run_and_check(scenario);
  EXPECT_EQ(run.open_requests, 0u);
  EXPECT_GE(run.backends_maintained, 8u);
  EXPECT_GT(run.result["goodput"].asDouble(), 0.95);
}

// The three voters crash one after another, so that one of the crashes hits the leader.
TEST(ClusterMaintenance, StaysSafeWhenVotersCrash) {
  run_and_check(scenario_with(fault("proxy_crash", "3s", "1s", "proxies = 1\nfirst = 0") +
                                  fault("proxy_crash", "5s", "1s", "proxies = 1\nfirst = 1") +
                                  fault("proxy_crash", "7s", "1s", "proxies = 1\nfirst = 2"),
                              "work = \"300ms\"\n"));
}

TEST(ClusterMaintenance, StaysSafeWhenAllVotersRestart) {
  run_and_check(scenario_with(fault("proxy_crash", "4s", "300ms", "proxies = 3\nfirst = 0")));
}

// A proxy that is not a voter, and later a voter, are suspended and resume with permissions that
// have expired.
TEST(ClusterMaintenance, StaysSafeWhenAProcessResumes) {
  run_and_check(scenario_with(fault("proxy_stop", "3s", "5s", "proxies = 1\nfirst = 4") +
                              fault("proxy_stop", "9s", "3s", "proxies = 1\nfirst = 0")));
}

// Datagrams between proxies are lost, duplicated, delayed and reordered during the whole run.
TEST(ClusterMaintenance, StaysSafeWhenDatagramsAreDisturbed) {
  run_and_check(scenario_with(fault("talk_spoil", "1s", "15s", "factor = 0.15\ndelay = \"40ms\"")));
}

// One proxy is isolated from its peers in both directions, another receives no datagrams, and no
// datagrams of a third arrive. Clients still reach all of them.
TEST(ClusterMaintenance, StaysSafeInPartitions) {
  run_and_check(
      scenario_with(fault("talk_cut", "2500ms", "3s", "proxies = 1\nfirst = 4") +
                    fault("talk_cut", "6s", "2s", "proxies = 1\nfirst = 3\nway = \"back\"") +
                    fault("talk_cut", "9s", "2s", "proxies = 1\nfirst = 0\nway = \"there\"")));
}

// Maintenance does not wait for an isolated proxy that has stopped serving. That proxy serves again
// once it receives its next lease.
TEST(ClusterMaintenance, StaysSafeWithAnIsolationTimeout) {
  run_and_check(scenario_with(fault("talk_cut", "2500ms", "8s", "proxies = 1\nfirst = 4"),
                              "isolated_after = \"1s\"\n"));
}

TEST(ClusterMaintenance, StaysSafeWhenAVoterLosesItsStorage) {
  run_and_check(scenario_with(fault("proxy_crash", "3s", "800ms", "proxies = 1\nfirst = 1") +
                              fault("state_lost", "3400ms", "100ms", "proxies = 1\nfirst = 1")));
}

TEST(ClusterMaintenance, StaysSafeWhenAVotersStorageIsRolledBack) {
  run_and_check(scenario_with(fault("state_old", "2s", "3400ms", "proxies = 1\nfirst = 2") +
                              fault("proxy_crash", "5s", "800ms", "proxies = 1\nfirst = 2")));
}

// A discovery drain, a backend crash and a graceful shutdown of a proxy happen during maintenance.
TEST(ClusterMaintenance, StaysSafeDuringOrdinaryFaults) {
  run_and_check(scenario_with(fault("drain", "3s", "2s", "nodes = 1") +
                              fault("crash", "6s", "1s", "nodes = 1") +
                              fault("proxy_end", "8s", "1500ms", "proxies = 1\nfirst = 3")));
}

}  // namespace
}  // namespace beechhill::test
