// Tests when a balancer subscribes to discovery.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

TEST(DiscoveryPolling, SubscribesAtStartWithJitter) {
  Settings settings = basic_settings();
  settings.discovery_polling_required = true;
  std::set<Time> times;
  for (settings.seed = 0; settings.seed < 8; ++settings.seed) {
    Driver driver(settings);
    const auto& timer = std::get<SetTimer>(driver.actions.at(0));
    EXPECT_LE(timer.at - driver.now, settings.discovery_poll_interval / 2);
    times.insert(timer.at);
  }
  EXPECT_EQ(times.size(), 8u);
}

TEST(DiscoveryPolling, SubscribesAgainAfterAFailure) {
  Settings settings = basic_settings();
  settings.discovery_polling_required = true;
  Driver driver(settings);
  driver.advance(settings.discovery_poll_interval / 2);
  EXPECT_EQ(count<WatchEndpoints>(driver.actions), 1u);
  EXPECT_EQ(count<WatchEndpoints>(driver.handle(EndpointUpdate{UpdateKind::kFailed, {}})), 0u);
  driver.advance(settings.discovery_poll_interval);
  EXPECT_EQ(count<WatchEndpoints>(driver.actions), 2u);
}

TEST(DiscoveryPolling, IsOffWhereChangesArePushed) {
  Driver driver;
  driver.advance(milliseconds(20000));
  EXPECT_EQ(count<WatchEndpoints>(driver.actions), 0u);
}

}  // namespace
}  // namespace beechhill::test
