// The emulated deployment against queueing theory, its determinism, and what it is known to show.
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

std::string text_of(const Json::Value& v) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, v);
}

// Nothing but queues: no network, no handshake, endless patience and queues.
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

// The probability to wait in an M/M/c queue.
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
void PrintTo(const Queue& q, std::ostream* out) {
  *out << q.cores << " cores at " << q.load;
}
class QueueTheory : public testing::TestWithParam<Queue> {};

TEST_P(QueueTheory, MatchesErlangCAndLittlesLaw) {
  const auto [cores, load] = GetParam();
  const Json::Value r =
      experiments::run_scenario(scenario_of(queue_only(1, cores, load, 1'000'000)), "random", false)
          .result;
  const Json::Value& tier = r["tiers"][0];
  const double wait = erlang_c(cores, load) * 0.01 / (cores * (1 - load));
  EXPECT_NEAR(tier["mean_wait_s"].asDouble() / wait, 1, 0.02);
  // Little: what is present is the rate times the time each is there.
  const double rate = load * cores / 0.01;
  EXPECT_NEAR(tier["mean_present"].asDouble() / (rate * (wait + 0.01)), 1, 0.02);
  EXPECT_NEAR(tier["utilisation"].asDouble() / load, 1, 0.02);
}
INSTANTIATE_TEST_SUITE_P(Queues, QueueTheory, testing::Values(Queue{1, 0.6}, Queue{4, 0.8}));

TEST(World, KeepsQueuesShortWithTwoChoices) {
  const Scenario s = scenario_of(queue_only(100, 1, 0.9, 200'000));
  const auto max_waiting = [&](const char* policy) {
    return experiments::run_scenario(s, policy, false).result["tiers"][0]["most_waiting"].asInt();
  };
  const int random = max_waiting("random");
  const int two = max_waiting("two_choices");
  // Grows as the logarithm of the time over that of 1 / load.
  EXPECT_GT(random, 40);
  // Doubly logarithmic.
  EXPECT_LT(two, 12);
}

TEST(World, GivesEqualBytesForEqualSeedsAndOthersForOthers) {
  Scenario s = shipped_scenario("three-tiers");
  s.length = std::chrono::seconds(16);
  const std::string one = text_of(experiments::run_scenario(s, "module", true).result);
  EXPECT_EQ(one, text_of(experiments::run_scenario(s, "module", true).result));
  s.seed = 2;
  EXPECT_NE(one, text_of(experiments::run_scenario(s, "module", true).result));
}

// After a burst of 6 s a plain policy never recovers; the module does at once.
TEST(World, ShowsMetastableFailureOfPlainPoliciesOnly) {
  const Scenario s = shipped_scenario("metastable");
  EXPECT_LT(experiments::run_scenario(s, "two_choices", false).result["recovery_s"].asDouble(), 0);
  const double module =
      experiments::run_scenario(s, "module", false).result["recovery_s"].asDouble();
  EXPECT_GE(module, 0);
  EXPECT_LE(module, 5);
}

// Two data centres with four fifths of the traffic in one: calls stay while it has capacity, and
// cross as it fills.
TEST(World, CallsCrossZonesOnlyAsTheirOwnFills) {
  const auto crossings_at = [](double load) {
    Scenario s = shipped_scenario("two-centres");
    s.length = std::chrono::seconds(15);
    s.load.utilisation = load;
    World world(s, make_module_policy);
    world.run();
    EXPECT_EQ(world.rules().all(), 0u);
    EXPECT_GT(world.metrics().goodput(), 0.97) << load;
    return static_cast<double>(world.metrics().crossings) /
           static_cast<double>(world.metrics().all.asked);
  };
  // 1.1 where calls go wherever they find the least load.
  EXPECT_LT(crossings_at(0.3), 0.1);
  // Its own backends can do 0.63 of what arrives.
  EXPECT_GT(crossings_at(0.8), 0.1);
}

// Many proxies before many backends, each pair meeting seldom: the slow ones must be recognised all
// the same. Goodput is 0.87 and 0.90 where each proxy uses all of them.
TEST(World, ManyProxiesTellSlowBackendsApart) {
  for (const std::uint64_t seed : {1, 2}) {
    Scenario s = shipped_scenario("coming-back");
    s.seed = seed;
    s.length = std::chrono::seconds(8);
    s.load.utilisation = 0.5;
    s.proxies = 200;
    s.tiers[0].nodes = 160;
    s.clients.connections = 2000;
    std::erase_if(s.faults, [](const FaultSpec& f) { return f.kind != FaultKind::kSlow; });
    World world(s, make_module_policy);
    world.run();
    EXPECT_EQ(world.rules().all(), 0u);
    EXPECT_GT(world.metrics().goodput(), 0.96);
  }
}

}  // namespace
}  // namespace beechhill::emulator
