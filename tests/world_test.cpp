// Compares the emulated deployment with queueing theory, and checks its determinism and known
// effects of load balancing.
#include "emulator/world.h"

#include <gtest/gtest.h>

#include <cmath>
#include <string>

#include "experiments/experiment.h"
#include "support/emulator_scenarios.h"

namespace beechhill::emulator {
namespace {

using test::make_module_policy;
using test::scenario_of;
using test::shipped_scenario;

std::string text_of(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

// Returns the TOML text of a scenario without network delays, handshakes, retries or effective
// limits on queues and deadlines.
std::string queue_only(int nodes, int cores, double load, int requests) {
  const double rate = load * nodes * cores / 0.01;
  return "length = \"" + std::to_string(requests / rate) +
         "s\"\nwarm_up = \"1ms\"\n[load]\nrate = " + std::to_string(rate) +
         "\n[network]\none_way = \"0us\"\n[clients]\nretry = \"never\"\n[proxies]\nlongest_advice "
         "= \"0s\"\n"
         "[[class]]\nname = \"c\"\nrepeat = \"repeatable\"\nwork = \"10ms\"\naim = "
         "\"1h\"\ndeadline = \"2h\"\n"
         "[[tier]]\nname = \"t\"\nnodes = " +
         std::to_string(nodes) + "\ncores = " + std::to_string(cores) +
         "\nroom = 10000000\nconnection = { handshake = \"0us\", work = \"0us\" }\n";
}

// Probability that a job has to wait in an M/M/c queue.
double erlang_c(int c, double load) {
  const double a = c * load;
  double term = 1, sum = 1;
  for (int k = 1; k < c; ++k) {
    term *= a / k;
    sum += term;
  }
  const double last = term * a / c / (1 - load);
  return last / (sum + last);
}

struct Queue {
  int cores;
  double load;
};
void PrintTo(const Queue& queue, std::ostream* out) {
  *out << queue.cores << " cores at " << queue.load;
}
class QueueTheory : public testing::TestWithParam<Queue> {};

TEST_P(QueueTheory, MatchesErlangCAndLittlesLaw) {
  const auto [cores, load] = GetParam();
  const Json::Value result =
      experiments::run_scenario(scenario_of(queue_only(1, cores, load, 1'000'000)), "random", false)
          .result;
  const Json::Value& tier = result["tiers"][0];
  const double wait = erlang_c(cores, load) * 0.01 / (cores * (1 - load));
  EXPECT_NEAR(tier["mean_wait_s"].asDouble() / wait, 1, 0.02);
  // Little's law: the mean number of jobs present is the arrival rate times the mean time in the
  // system.
  const double rate = load * cores / 0.01;
  EXPECT_NEAR(tier["mean_present"].asDouble() / (rate * (wait + 0.01)), 1, 0.02);
  EXPECT_NEAR(tier["utilisation"].asDouble() / load, 1, 0.02);
}
INSTANTIATE_TEST_SUITE_P(Queues, QueueTheory, testing::Values(Queue{1, 0.6}, Queue{4, 0.8}));

TEST(World, KeepsQueuesShortWithTwoChoices) {
  const Scenario scenario = scenario_of(queue_only(100, 1, 0.9, 200'000));
  const auto max_waiting = [&](const char* policy) {
    return experiments::run_scenario(scenario, policy, false)
        .result["tiers"][0]["most_waiting"]
        .asInt();
  };
  const int random = max_waiting("random");
  const int two = max_waiting("two_choices");
  // For random choice, the longest queue grows as the logarithm of the run's length over the
  // logarithm of 1 / load.
  EXPECT_GT(random, 40);
  // For two choices, the longest queue grows doubly logarithmically.
  EXPECT_LT(two, 12);
}

TEST(World, GivesIdenticalResultsForEqualSeedsOnly) {
  Scenario scenario = shipped_scenario("three-tiers");
  scenario.length = std::chrono::seconds(16);
  const std::string one = text_of(experiments::run_scenario(scenario, "module", true).result);
  EXPECT_EQ(one, text_of(experiments::run_scenario(scenario, "module", true).result));
  scenario.seed = 2;
  EXPECT_NE(one, text_of(experiments::run_scenario(scenario, "module", true).result));
}

// After a load burst of 6 s the baseline policy never recovers, which is a metastable failure. The
// balancer recovers within 5 s.
TEST(World, ShowsMetastableFailureOfBaselinePolicyOnly) {
  const Scenario scenario = shipped_scenario("metastable");
  EXPECT_LT(
      experiments::run_scenario(scenario, "two_choices", false).result["recovery_s"].asDouble(), 0);
  const double module =
      experiments::run_scenario(scenario, "module", false).result["recovery_s"].asDouble();
  EXPECT_GE(module, 0);
  EXPECT_LE(module, 5);
}

// Two data centres, one of which receives 80 % of the traffic: requests stay in their zone while it
// has capacity, and cross to the other zone when it is nearly full.
TEST(World, RequestsCrossZonesOnlyWhenTheirOwnIsNearlyFull) {
  const auto crossings_at = [](double load) {
    Scenario scenario = shipped_scenario("two-centres");
    scenario.length = std::chrono::seconds(15);
    scenario.load.utilisation = load;
    World world(scenario, make_module_policy);
    world.run();
    EXPECT_EQ(world.rules().all(), 0u);
    EXPECT_GT(world.metrics().goodput(), 0.97) << load;
    return static_cast<double>(world.metrics().crossings) /
           static_cast<double>(world.metrics().all.asked);
  };
  // If backends are chosen by load alone, requests cross zones about 1.1 times on average.
  EXPECT_LT(crossings_at(0.3), 0.1);
  // At this load, the backends of the busy zone can process 63 % of the requests that arrive there.
  EXPECT_GT(crossings_at(0.8), 0.1);
}

// With many proxies and backends, each proxy sends few requests to each backend, and must detect
// slow backends nevertheless. If each proxy uses all backends, goodput is only 0.87 and 0.90 for
// the two seeds.
TEST(World, ManyProxiesDetectSlowBackends) {
  for (const std::uint64_t seed : {1, 2}) {
    Scenario scenario = shipped_scenario("coming-back");
    scenario.seed = seed;
    scenario.length = std::chrono::seconds(8);
    scenario.load.utilisation = 0.5;
    scenario.proxies = 200;
    scenario.tiers[0].nodes = 160;
    scenario.clients.connections = 2000;
    std::erase_if(scenario.faults, [](const FaultSpec& f) { return f.kind != FaultKind::kSlow; });
    World world(scenario, make_module_policy);
    world.run();
    EXPECT_EQ(world.rules().all(), 0u);
    EXPECT_GT(world.metrics().goodput(), 0.96);
  }
}

}  // namespace
}  // namespace beechhill::emulator
