// Tests slow start of a single endpoint. slow_start_fleet_test.cpp tests whole fleets.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

// An endpoint must receive a minimum of requests even if all endpoints are in slow start.
TEST(SlowStart, SendsAMinimumToALoneEndpoint) {
  Driver driver;
  driver.update_endpoint({0, EndpointStatus::kUp, 0, 0, driver.now});
  std::size_t sent = 0;
  for (RequestId id = 1; id <= 10; ++id, driver.advance(milliseconds(500))) {
    driver.request(id);
    if (driver.attempts.size() > sent) {
      driver.outcome(driver.attempts.back().id, 0, Result::kOk);
    }
    sent = driver.attempts.size();
  }
  EXPECT_GE(sent, 3u);
}

TEST(SlowStart, LimitsAnEndpointToItsShareOfAWarmPeer) {
  Driver driver;
  driver.list_endpoints(4);
  RequestId id = 0;
  const auto run_one_second = [&] {
    for (int i = 0; i < 40; ++i) {
      driver.request(id);
      driver.advance(milliseconds(25));
      driver.outcome(id++, 0, Result::kOk);
    }
  };
  for (int i = 0; i < 10; ++i) {
    run_one_second();
  }
  driver.update_endpoint({0, EndpointStatus::kUp, 0, 0, driver.now});
  const std::size_t before = driver.attempts.size();
  run_one_second();
  std::size_t to_warming_up = 0;
  for (std::size_t i = before; i < driver.attempts.size(); ++i) {
    to_warming_up += driver.attempts[i].endpoint == 0;
  }
  EXPECT_LE(to_warming_up, 4u);  // a warm endpoint gets 13; this one starts with a fifth
  for (int i = 0; i < 12; ++i) {
    run_one_second();
  }
  const std::size_t later = driver.attempts.size();
  run_one_second();
  to_warming_up = 0;
  for (std::size_t i = later; i < driver.attempts.size(); ++i) {
    to_warming_up += driver.attempts[i].endpoint == 0;
  }
  EXPECT_GE(to_warming_up, 8u);
}

}  // namespace
}  // namespace beechhill::test
