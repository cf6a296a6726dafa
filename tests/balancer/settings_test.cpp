// Tests that settings out of bounds are rejected.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

TEST(Settings, NameTheValueThatIsOutOfBounds) {
  Settings settings = basic_settings();
  settings.slow_start_initial_weight = 0;
  std::vector<Action> actions;
  try {
    Balancer balancer(Time{0}, settings, actions);
    FAIL() << "accepted";
  } catch (const std::invalid_argument& exception) {
    EXPECT_NE(std::string(exception.what()).find("cold_from"), std::string::npos);
  }
}

}  // namespace
}  // namespace beechhill::test
