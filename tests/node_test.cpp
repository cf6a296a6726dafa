// One emulated backend as a state machine.
#include "emulator/node.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "support/emulator_scenarios.h"

namespace beechhill::emulator {
namespace {

using test::shipped_scenario;

TEST(Node, DelaysLoadReportsAndCollapsesUnderLoad) {
  Scenario s = shipped_scenario("calm");
  TierSpec& t = s.tiers[0];
  t.cores = 1;
  t.speed = {1, 1};
  t.report_noise = 0;
  t.collapse_queue_per_core = 2;
  Node node(t, 1, 0, std::nullopt, Time{0});
  std::vector<Start> starts;
  // Busy for long.
  ASSERT_TRUE(node.take(Time{0}, 1, 100.0, starts));
  EXPECT_FALSE(node.report(Time{0}, Duration{0}).utilization);
  EXPECT_EQ(node.report(Time{5'000'000}, Duration{0}).utilization, 1.0);
  // Later than all that it has.
  EXPECT_FALSE(node.report(Time{5'000'000}, Duration{60'000'000}).utilization);
  for (JobId id = 2; id < 6; ++id) {
    node.take(Time{5'000'000}, id, 0.1, starts);
  }
  node.take(Time{5'000'000} + t.collapse_after / 2, 7, 0.1, starts);
  EXPECT_FALSE(node.choked());
  node.take(Time{5'000'000} + 2 * t.collapse_after, 8, 0.1, starts);
  EXPECT_TRUE(node.choked());
  EXPECT_TRUE(node.withdraw(Time{10'000'000}, 8, starts));
  // It runs.
  EXPECT_FALSE(node.withdraw(Time{10'000'000}, 1, starts));
}

}  // namespace
}  // namespace beechhill::emulator
