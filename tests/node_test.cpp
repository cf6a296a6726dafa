// Tests of the state machine of one emulated backend.
#include "emulator/node.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "support/emulator_scenarios.h"

namespace beechhill::emulator {
namespace {

using test::shipped_scenario;

TEST(Node, DelaysLoadReportsAndCollapsesUnderLoad) {
  Scenario scenario = shipped_scenario("calm");
  TierSpec& tier = scenario.tiers[0];
  tier.cores = 1;
  tier.speed = {1, 1};
  tier.report_noise = 0;
  tier.collapse_queue_per_core = 2;
  Node node(tier, 1, 0, std::nullopt, Time{0});
  std::vector<StartedPhase> starts;
  // A job that keeps the only core busy for the whole test.
  ASSERT_TRUE(node.accept(Time{0}, 1, 100.0, starts));
  EXPECT_FALSE(node.report(Time{0}, Duration{0}).utilization);
  EXPECT_EQ(node.report(Time{5'000'000}, Duration{0}).utilization, 1.0);
  // The delay is longer than the age of all reports.
  EXPECT_FALSE(node.report(Time{5'000'000}, Duration{60'000'000}).utilization);
  for (JobId id = 2; id < 6; ++id) {
    node.accept(Time{5'000'000}, id, 0.1, starts);
  }
  node.accept(Time{5'000'000} + tier.collapse_after / 2, 7, 0.1, starts);
  EXPECT_FALSE(node.collapsed());
  node.accept(Time{5'000'000} + 2 * tier.collapse_after, 8, 0.1, starts);
  EXPECT_TRUE(node.collapsed());
  EXPECT_TRUE(node.remove_queued(Time{10'000'000}, 8, starts));
  // The job is running and therefore cannot be removed from the queue.
  EXPECT_FALSE(node.remove_queued(Time{10'000'000}, 1, starts));
}

}  // namespace
}  // namespace beechhill::emulator
