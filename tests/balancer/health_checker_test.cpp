// Tests when health checks run and which endpoints they select.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

// A new replica must check each instance type early, as it would otherwise overload the slowest
// type in its first seconds (incident ic9b421).
TEST(HealthChecks, AskAFewEndpointsOfUnknownInstanceTypesAtStart) {
  Settings settings = basic_settings();
  settings.load_reports_require_health_checks = settings.health_checks_allowed = true;
  settings.health_check_cost = 0.05;
  Driver driver(settings);
  driver.list_endpoints_of_types(20, [](EndpointId i) { return i / 10; });
  std::set<std::uint32_t> types;
  std::size_t checks = 0;
  for (int step = 0; step < 200; ++step) {
    const std::size_t action_count = driver.actions.size();
    driver.advance(milliseconds(100));
    for (std::size_t action = action_count; action < driver.actions.size(); ++action) {
      if (const auto* check = std::get_if<HealthCheck>(&driver.actions[action])) {
        ++checks;
        types.insert(check->endpoint / 10);
        driver.handle(HealthCheckResult{check->endpoint, Result::kOk, {1.5, 10.0}});
        driver.request(1000 + action);  // its selection applies the reports received so far
      }
    }
  }
  EXPECT_GE(checks, 4u);
  EXPECT_EQ(types.size(), 2u);
}

TEST(HealthChecks, RunOnlyWhereNeededAndAllowed) {
  for (const bool needed : {false, true}) {
    for (const bool allowed : {false, true}) {
      Settings settings = basic_settings();
      settings.load_reports_require_health_checks = needed,
      settings.health_checks_allowed = allowed;
      Driver driver(settings);
      driver.list_endpoints(3);
      for (RequestId id = 0; id < 20; ++id) {
        driver.request(id);
        driver.advance(milliseconds(500));
      }
      EXPECT_EQ(count<HealthCheck>(driver.actions) > 0, needed && allowed);
    }
  }
}

}  // namespace
}  // namespace beechhill::test
