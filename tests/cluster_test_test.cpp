// Runs many proxies under fault plans, with real processes and in the emulator. Each test checks
// that no rule is violated and that every request is answered unless a fault explains the missing
// response.
#include "testbed/cluster_test/cluster_test.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>

#include "support/fault_plan_text.h"
#include "support/testbed_fixture.h"
#include "testbed/cluster_test/fault_plan.h"

namespace beechhill::test {
namespace {

using emulator::Scenario;
using std::chrono::seconds;

const testbed::ClusterTestOptions kEmulatedWithoutControl{
    .emulated = true, .policy = "module", .program = {}, .control = false};

// Expects a goodput above 0.9 from time `from` on, which fails if a proxy stays unavailable.
void expect_recovery(const testbed::LoadTestResult& run, const Scenario& scenario, Duration from) {
  EXPECT_GT(run.metrics->goodput_between(from, scenario.length), 0.9);
}

// Seven in ten proxies restart at once while a backend is slow. Each restarted proxy must request
// only one more endpoint list, and no backend may receive more new connections in one second than
// the scenario's clients have connections.
TEST(ClusterTest, RecoversWhenMostProxiesRestartAtOnceBesideASlowBackend) {
  const Scenario scenario = cluster_scenario(fault("proxy_crash", "2s", "800ms", "part = 0.7") +
                                             fault("slow", "1s", "7s", "nodes = 1\nfactor = 3.0"));
  const testbed::LoadTestResult run = run_without_violations(scenario);
  expect_recovery(run, scenario, seconds(5));
  EXPECT_EQ(run.max_snapshot_requests, 2u);
  EXPECT_LE(run.max_connections_per_s, scenario.clients.connections);
}

// All proxies restart twice, the second time before they have warmed up. The goodput must recover
// although the clients that could not reach a proxy return together, and each restart must cause
// only one request for the endpoint list.
TEST(ClusterTest, RecoversWhenAllProxiesRestartTwice) {
  const Scenario scenario = cluster_scenario(
      fault("proxy_crash", "2s", "600ms", "part = 1.0\ntimes = 2\nevery = \"1500ms\""));
  const testbed::LoadTestResult run = run_without_violations(scenario);
  EXPECT_GT(run.result["unreachable"].asUInt64(), 0u);
  expect_recovery(run, scenario, seconds(6));
  EXPECT_EQ(run.max_snapshot_requests, 3u);
}

// A proxy that crashes in a loop must fail only the requests that were sent to it.
TEST(ClusterTest, KeepsGoodputWhenOneProxyCrashesInALoop) {
  const testbed::LoadTestResult run = run_without_violations(cluster_scenario(
      fault("proxy_crash", "1500ms", "300ms", "proxies = 1\ntimes = 5\nevery = \"1s\"")));
  EXPECT_GT(run.result["goodput"].asDouble(), 0.9);
}

// Backends begin to drain while most proxies are down. When the proxies return, half of the
// discovery servers are unresponsive and one proxy is still suspended. The goodput must recover
// nevertheless.
TEST(ClusterTest, RecoversWhenProxiesReturnToADrainAndUnresponsiveDiscovery) {
  const Scenario scenario =
      cluster_scenario(fault("proxy_crash", "2s", "700ms", "part = 0.8") +
                       fault("drain", "2200ms", "3s", "nodes = 2") +
                       fault("discovery_silent", "2s", "2s", "part = 0.5") +
                       fault("proxy_stop", "2s", "2500ms", "proxies = 1\nfirst = 5"));
  expect_recovery(run_without_violations(scenario), scenario, seconds(6));
}

// All proxies are suspended for longer than a watch lasts. When they resume, they must not use the
// old endpoint list to send requests to a backend that has crashed in the meantime.
TEST(ClusterTest, SendsNothingByAnOldListWhenAllProxiesAreSuspendedAndResumed) {
  const Scenario scenario = cluster_scenario(fault("proxy_stop", "1500ms", "3500ms", "part = 1.0") +
                                             fault("crash", "2s", "1500ms", "nodes = 1"));
  const testbed::LoadTestResult run = run_without_violations(scenario);
  EXPECT_GT(run.excused, 0u);
  expect_recovery(run, scenario, seconds(6));
}

TEST(ClusterTest, RecoversWhenLinksArePartitionedDuringARollingRestart) {
  const Scenario scenario =
      cluster_scenario(fault("proxy_end", "1500ms", "800ms", "part = 1.0\nover = \"3s\"") +
                       fault("partition", "2s", "2s", "nodes = 3") +
                       fault("partition", "2500ms", "1s", "nodes = 1\nway = \"back\"") +
                       fault("link_delay", "1500ms", "2s", "nodes = 2\ndelay = \"50ms\"") +
                       fault("link_reset", "3s", "1s", "part = 1.0"));
  expect_recovery(run_without_violations(scenario), scenario, seconds(6));
}

// All proxies restart at once, each with its state in another condition: lost, truncated, with one
// bit flipped, one hour old, on a full disk, and on a disk that hung. The proxies must set aside
// the truncated, corrupted and old snapshots and recover.
TEST(ClusterTest, RestartsWithDamagedStateOfEveryKind) {
  const auto state_fault = [](const char* kind, int proxy, const char* extra_lines = "") {
    return fault(kind, "2200ms", "100ms",
                 "proxies = 1\nfirst = " + std::to_string(proxy) + "\n" + extra_lines);
  };
  const Scenario scenario = cluster_scenario_with_snapshots(
      fault("proxy_crash", "2s", "600ms", "part = 1.0") + state_fault("state_lost", 0) +
      state_fault("state_torn", 1) + state_fault("state_flipped", 2) +
      state_fault("state_aged", 3, "delay = \"1h\"") +
      fault("disk_full", "1s", "4s", "proxies = 1\nfirst = 4") +
      fault("disk_hangs", "1s", "4s", "proxies = 1\nfirst = 5"));
  testbed::LoadTestResult run = run_without_violations(scenario);
  expect_recovery(run, scenario, seconds(6));
  EXPECT_EQ(run.max_snapshot_requests, 2u);
  // The truncated, the corrupted and the old snapshot are set aside.
  EXPECT_EQ(run.log_events["snapshot_set_aside"], 3u);
  // The proxy with the full disk cannot write its snapshot.
  EXPECT_GE(run.log_events["snapshot_lost"], 1u);
  // The last three proxies find a snapshot; from the old one, only the excluded backends are used.
  EXPECT_GE(run.log_events["snapshot_found"], 3u);
}

// The proxies' state is restored to a copy from before all backends were replaced. The proxies must
// discard all of it and send no requests to the replaced backends.
TEST(ClusterTest, DiscardsStateFromBeforeARollingDeployment) {
  const Scenario scenario =
      cluster_scenario_with_snapshots(fault("state_old", "1300ms", "3s", "part = 1.0") +
                                      fault("drain", "1500ms", "500ms", "cell = 0") +
                                      fault("drain", "2500ms", "500ms", "cell = 1") +
                                      fault("proxy_crash", "4s", "500ms", "part = 1.0"));
  testbed::LoadTestResult run = run_without_violations(scenario);
  expect_recovery(run, scenario, seconds(7));
  EXPECT_EQ(run.log_events["snapshot_found"], 6u);
  EXPECT_EQ(run.restored_endpoints, 0u);
  EXPECT_GT(run.discarded_endpoints, 0u);
}

// Half of the proxies return with fresh state and half with old state, while three proxies'
// discovery servers send a list from before a drain. The goodput must recover nevertheless.
TEST(ClusterTest, RecoversWhenHalfOfTheStateIsOldAndDiscoveryIsRewound) {
  const Scenario scenario = cluster_scenario_with_snapshots(
      fault("proxy_crash", "3s", "600ms", "part = 1.0") +
      fault("state_aged", "3200ms", "100ms", "proxies = 3\ndelay = \"1h\"") +
      fault("drain", "2s", "3s", "nodes = 2") +
      fault("discovery_rewound", "2800ms", "1500ms", "proxies = 3\nfirst = 1\ndelay = \"1500ms\""));
  expect_recovery(run_without_violations(scenario), scenario, seconds(6));
}

// Runs three drawn fault plans with real processes and expects no violations. The plans can include
// state faults because the proxies keep snapshots.
void run_drawn_plans(std::uint64_t first_seed) {
  constexpr std::uint64_t kPlans = 3;
  for (std::uint64_t seed = first_seed; seed < first_seed + kPlans; ++seed) {
    Scenario scenario = cluster_scenario_with_snapshots();
    scenario.seed = seed;
    scenario.faults = testbed::draw_faults(scenario, seed);
    SCOPED_TRACE("seed " + std::to_string(seed) + "\n" +
                 testbed::to_toml(scenario, scenario.faults));
    run_without_violations(scenario);
  }
}

TEST(ClusterTest, ViolatesNoRuleUnderDrawnPlansOneToThree) {
  run_drawn_plans(1);
}

TEST(ClusterTest, ViolatesNoRuleUnderDrawnPlansFourToSix) {
  run_drawn_plans(4);
}

// Returns the emulator's whole result as JSON text, except for the number of events.
std::string emulated_result(const Scenario& scenario) {
  testbed::ClusterTestResult test = testbed::run_cluster_test(scenario, kEmulatedWithoutControl);
  test.result.removeMember("events");  // differs, as each state fault adds two events
  return test.result.toStyledString();
}

TEST(EmulatedClusterTest, ProxiesThatLostTheirStateBehaveAsAtAFirstStart) {
  const std::string crash = fault("proxy_crash", "3s", "500ms", "part = 1.0");
  const std::string state_lost = fault("state_lost", "3200ms", "100ms", "part = 1.0");
  const std::string first_start = emulated_result(cluster_scenario(crash));
  EXPECT_EQ(emulated_result(cluster_scenario_with_snapshots(crash + state_lost)), first_start);
  // Checks that the comparison is meaningful: proxies that keep their state give another result.
  EXPECT_NE(emulated_result(cluster_scenario_with_snapshots(crash)), first_start);
}

TEST(EmulatedClusterTest, ViolatesNoRuleUnderDrawnPlans) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Scenario scenario = cluster_scenario();
    scenario.seed = seed;
    scenario.faults = testbed::draw_faults(scenario, seed);
    const testbed::ClusterTestResult test =
        testbed::run_cluster_test(scenario, kEmulatedWithoutControl);
    ASSERT_EQ(test.violations, 0u)
        << "seed " << seed << "\n"
        << test.violation_text << testbed::to_toml(scenario, scenario.faults);
  }
}

}  // namespace
}  // namespace beechhill::test
