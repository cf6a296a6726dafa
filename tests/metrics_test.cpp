// Tests of the metrics of a run.
#include "emulator/metrics.h"

#include <gtest/gtest.h>

#include <chrono>

#include "support/emulator_scenarios.h"

namespace beechhill::emulator {
namespace {

using test::shipped_scenario;

// Goodput before and during a fault is computed separately, and recovery requires three consecutive
// seconds at the goal.
TEST(Metrics, MeasuresRecoveryAgainstTheTimeBeforeTheFault) {
  const Scenario scenario = shipped_scenario("calm");
  Metrics metrics(scenario);
  for (const double served : {1.0, 1.0, 0.4, 0.4, 0.5, 0.97, 0.6, 0.99, 1.0, 1.0, 1.0}) {
    Second second;
    second.worth_asked = 100;
    second.worth_served = 100 * served;
    metrics.seconds.push_back(second);
  }
  using std::chrono::seconds;
  EXPECT_DOUBLE_EQ(metrics.goodput_between(seconds(0), seconds(2)), 1);
  EXPECT_DOUBLE_EQ(metrics.goodput_between(seconds(2), seconds(4)), 0.4);
  // A single good second between bad ones does not count as recovery.
  EXPECT_EQ(metrics.recovery_s(seconds(4), seconds(11), 0.95), 3);
  // There are not three good seconds in a row before second 9.
  EXPECT_EQ(metrics.recovery_s(seconds(4), seconds(9), 0.95), -1);
}

}  // namespace
}  // namespace beechhill::emulator
