// Tests of fault plans: drawing, writing as TOML, shrinking, and measuring the recovery from
// faults.
#include "testbed/cluster_test/fault_plan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "emulator/metrics.h"
#include "support/testbed_fixture.h"

namespace beechhill::test {
namespace {

using emulator::FaultSpec;
using emulator::Scenario;

TEST(FaultPlan, ReadsBackAsItWasWritten) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Scenario scenario = cluster_scenario();
    scenario.seed = seed;
    const std::string text = testbed::to_toml(scenario, testbed::draw_faults(scenario, seed));
    ASSERT_EQ(testbed::to_toml(scenario, cluster_scenario(text).faults), text) << "seed " << seed;
  }
}

TEST(FaultPlan, ShrinksToTheFaultsThatFailTogether) {
  std::vector<FaultSpec> faults(6);
  for (std::uint32_t i = 0; i < faults.size(); ++i) {
    faults[i].first = i;
  }
  const auto fails = [](const std::vector<FaultSpec>& plan) {
    const auto contains = [&plan](std::uint32_t first) {
      return std::any_of(plan.begin(), plan.end(),
                         [first](const FaultSpec& fault) { return fault.first == first; });
    };
    return contains(1) && contains(4);
  };
  const std::vector<FaultSpec> shrunk = testbed::shrink(faults, 40, fails);
  EXPECT_EQ(shrunk.size(), 2u);
  EXPECT_TRUE(fails(shrunk));
}

// Fixture with the metrics of two runs of ten requests per second. The control run serves all
// requests; the run with faults serves none from 1 s to 1.5 s.
class RecoveryMeasurement : public testing::Test {
 protected:
  RecoveryMeasurement() {
    for (int tenth = 0; tenth < 80; ++tenth) {
      const Time at = std::chrono::milliseconds(100 * tenth);
      add_request(control_, at, true);
      add_request(faulty_, at, tenth < 10 || tenth >= 15);
    }
  }

  static void add_request(emulator::Metrics& metrics, Time at, bool served) {
    metrics.asked(at, 0, kNoTenant, 1);
    metrics.ended(at, Duration{1000}, 0, kNoTenant, 1, served, false);
  }

  const Scenario scenario_ = cluster_scenario();
  const Time fault_began_ = std::chrono::seconds(1);
  emulator::Metrics control_{scenario_};
  emulator::Metrics faulty_{scenario_};
};

TEST_F(RecoveryMeasurement, IsImmediateForARunThatEqualsItsControl) {
  const emulator::RecoveryCost recovery =
      control_.measure_recovery(control_, fault_began_, fault_began_);
  EXPECT_EQ(recovery.full_after, Duration{0});
}

TEST_F(RecoveryMeasurement, CountsTimeAndGoodputUntilServiceIsFull) {
  const emulator::RecoveryCost recovery =
      faulty_.measure_recovery(control_, fault_began_, fault_began_);
  EXPECT_EQ(recovery.full_after, std::chrono::milliseconds(500));
  EXPECT_NEAR(recovery.worth_lost, 0.5, 0.02);
}

TEST_F(RecoveryMeasurement, IsUnknownWhenTooLittleOfTheRunIsLeft) {
  const emulator::RecoveryCost recovery =
      faulty_.measure_recovery(control_, fault_began_, std::chrono::seconds(4));
  EXPECT_FALSE(recovery.full_after);
}

}  // namespace
}  // namespace beechhill::test
