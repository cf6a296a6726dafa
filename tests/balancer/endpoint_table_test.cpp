// Endpoint lists and exclusions by operators: what they void, and what they end.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

// How many of `n` requests, one each 10 ms and each answered at once, an endpoint gets.
std::size_t share_of(Driver& driver, EndpointId endpoint, RequestId from, int n) {
  std::size_t got = 0;
  for (int i = 0; i < n; ++i) {
    const std::size_t before = driver.attempts.size();
    driver.request(from + i);
    for (std::size_t k = before; k < driver.attempts.size(); ++k) {
      got += driver.attempts[k].endpoint == endpoint;
    }
    driver.advance(milliseconds(10));
    driver.outcome(from + i, 0, Result::kOk);
  }
  return got;
}

TEST(Exclusion, HoldsWhateverTheEndpointListSays) {
  Driver driver;
  driver.handle(EndpointExclusion{1, true});  // before any list
  driver.list_endpoints(3);
  EXPECT_EQ(share_of(driver, 1, 100, 60), 0u);
  driver.update_endpoint({1, EndpointStatus::kRemoved, 0, 0, {}});
  driver.update_endpoint({1, EndpointStatus::kUp, 0, 0, driver.now});
  driver.list_endpoints(3);
  EXPECT_EQ(share_of(driver, 1, 200, 60), 0u);
}

// While excluded it may have been restarted, and the list may tell that late: it starts slowly, yet
// is soon in use.
TEST(Exclusion, EndsInSlowStartUnlessARestartIsListed) {
  for (const bool restart_listed : {false, true}) {
    Driver driver;
    driver.list_endpoints(3);
    share_of(driver, 1, 100, 300);
    driver.handle(EndpointExclusion{1, true});
    const Time restarted = driver.now + milliseconds(100);
    share_of(driver, 1, 1000, 900);  // 9 s, most of the slow start window
    if (restart_listed) {
      driver.update_endpoint({1, EndpointStatus::kUp, 0, 0, restarted});
    }
    driver.handle(EndpointExclusion{1, false});
    const std::size_t got = share_of(driver, 1, 5000, 200);
    EXPECT_GE(got, 2u);
    EXPECT_EQ(got > 40, restart_listed);
  }
}

TEST(Exclusion, OfAllEndpointsRejectsAtOnceWithRetryAfter) {
  Settings settings = basic_settings();
  settings.max_retry_after = milliseconds(1500);
  Driver driver(settings);
  driver.list_endpoints(2);
  driver.handle(EndpointExclusion{0, true});
  driver.handle(EndpointExclusion{1, true});
  const auto actions = driver.request(1);
  ASSERT_EQ(count<Reject>(actions), 1u);
  EXPECT_GT(std::get<Reject>(actions[0]).retry_after, Duration{0});
  driver.handle(EndpointExclusion{0, false});
  driver.advance(milliseconds(1500));
  EXPECT_EQ(count<StartAttempt>(driver.request(2)), 1u);
}

// Outcomes of attempts at a former incarnation tell nothing of an endpoint that was restarted.
TEST(EndpointUpdates, VoidOutcomesOfAFormerIncarnation) {
  Settings settings = basic_settings();
  settings.slow_start_window = Duration{0};
  Driver driver(settings);
  driver.list_endpoints(4);
  for (RequestId id = 0; id < 40; ++id) {
    driver.request(id, kNonIdempotentClass);
  }
  driver.update_endpoint({0, EndpointStatus::kUp, 0, 0, driver.now});
  for (const StartAttempt& s : std::vector<StartAttempt>(driver.attempts)) {
    driver.outcome(s.id, 0, s.endpoint == 0 ? Result::kReset : Result::kOk);
  }
  EXPECT_GT(share_of(driver, 0, 100, 100), 12u);  // an even share is 25
}

// Guards against a fleet that came as deltas being used as one endpoint until the next survey.
TEST(EndpointUpdates, PutAFleetListedByADeltaToUseAtOnce) {
  Driver driver;
  EndpointUpdate changes{UpdateKind::kDelta, {}};
  for (EndpointId i = 0; i < 100; ++i) {
    changes.endpoints.push_back({i, EndpointStatus::kUp, 0, 0, {}});
  }
  driver.handle(changes);
  std::set<EndpointId> met;
  for (RequestId id = 0; id < 8; ++id) {
    driver.request(id);
    met.insert(driver.attempts.back().endpoint);
  }
  EXPECT_GT(met.size(), 4u);
}

TEST(EndpointUpdates, EndAttemptsAtADrainingOrRemovedEndpoint) {
  for (const EndpointStatus state : {EndpointStatus::kDraining, EndpointStatus::kRemoved}) {
    Driver driver;
    driver.list_endpoints(2);
    driver.update_endpoint({0, state, 0, 0, {}});
    for (RequestId id = 0; id < 20; ++id) {
      driver.request(id);
    }
    for (const auto& s : driver.attempts) {
      EXPECT_EQ(s.endpoint, 1u);
    }
  }
}

TEST(EndpointUpdates, RemoveWhatASnapshotDoesNotName) {
  Driver driver;
  driver.list_endpoints(3);
  driver.handle(EndpointUpdate{UpdateKind::kSnapshot, {{2, EndpointStatus::kUp, 0, 1, {}}}});
  for (RequestId id = 0; id < 20; ++id) {
    driver.request(id);
  }
  for (const auto& s : driver.attempts) {
    EXPECT_EQ(s.endpoint, 2u);
  }
}

}  // namespace
}  // namespace beechhill::test
