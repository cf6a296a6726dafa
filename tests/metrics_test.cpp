// What a run is judged by.
#include "emulator/metrics.h"

#include <gtest/gtest.h>

#include <chrono>

#include "support/emulator_scenarios.h"

namespace beechhill::emulator {
namespace {

using test::shipped_scenario;

// Recovered is what is as good as before the fault, not as during it.
TEST(Metrics, MeasuresRecoveryAgainstTheTimeBeforeTheFault) {
  const Scenario s = shipped_scenario("calm");
  Metrics m(s);
  for (const double served : {1.0, 1.0, 0.4, 0.4, 0.5, 0.97, 0.6, 0.99, 1.0, 1.0, 1.0}) {
    Second w;
    w.worth_asked = 100;
    w.worth_served = 100 * served;
    m.seconds.push_back(w);
  }
  using std::chrono::seconds;
  EXPECT_DOUBLE_EQ(m.goodput_between(seconds(0), seconds(2)), 1);
  EXPECT_DOUBLE_EQ(m.goodput_between(seconds(2), seconds(4)), 0.4);
  // One good second between bad ones is no recovery.
  EXPECT_EQ(m.recovery_s(seconds(4), seconds(11), 0.95), 3);
  // Not three in a row by then.
  EXPECT_EQ(m.recovery_s(seconds(4), seconds(9), 0.95), -1);
}

}  // namespace
}  // namespace beechhill::emulator
