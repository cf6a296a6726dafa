// Settings out of bounds.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

TEST(Settings, NameTheValueThatIsOutOfBounds) {
  Settings settings = basic_settings();
  settings.slow_start_initial_weight = 0;
  std::vector<Action> out;
  try {
    Balancer b(Time{0}, settings, out);
    FAIL() << "accepted";
  } catch (const std::invalid_argument& e) {
    EXPECT_NE(std::string(e.what()).find("cold_from"), std::string::npos);
  }
}

}  // namespace
}  // namespace beechhill::test
