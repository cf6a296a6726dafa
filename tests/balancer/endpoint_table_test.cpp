// Tests how endpoint lists and exclusions by operators affect endpoints and attempts.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

// Sends `request_count` requests, one every 10 ms with an immediate response, and returns how many
// attempts `endpoint` received.
std::size_t count_attempts_at(Driver& driver, EndpointId endpoint, RequestId first_id,
                              int request_count) {
  std::size_t received = 0;
  for (int i = 0; i < request_count; ++i) {
    const std::size_t before = driver.attempts.size();
    driver.request(first_id + i);
    for (std::size_t attempt = before; attempt < driver.attempts.size(); ++attempt) {
      received += driver.attempts[attempt].endpoint == endpoint;
    }
    driver.advance(milliseconds(10));
    driver.outcome(first_id + i, 0, Result::kOk);
  }
  return received;
}

TEST(Exclusion, HoldsWhateverTheEndpointListSays) {
  Driver driver;
  driver.handle(EndpointExclusion{1, true});  // before the first endpoint list
  driver.list_endpoints(3);
  EXPECT_EQ(count_attempts_at(driver, 1, 100, 60), 0u);
  driver.update_endpoint({1, EndpointStatus::kRemoved, 0, 0, {}});
  driver.update_endpoint({1, EndpointStatus::kUp, 0, 0, driver.now});
  driver.list_endpoints(3);
  EXPECT_EQ(count_attempts_at(driver, 1, 200, 60), 0u);
}

// An endpoint may restart while it is excluded, and discovery may report the restart late. A
// readmitted endpoint is therefore treated as just started unless a restart is listed. In both
// cases it must get some requests at once.
TEST(Exclusion, EndsInSlowStartUnlessARestartIsListed) {
  for (const bool restart_listed : {false, true}) {
    Driver driver;
    driver.list_endpoints(3);
    count_attempts_at(driver, 1, 100, 300);
    driver.handle(EndpointExclusion{1, true});
    const Time restarted = driver.now + milliseconds(100);
    count_attempts_at(driver, 1, 1000, 900);  // 9 s, most of the slow start window
    if (restart_listed) {
      driver.update_endpoint({1, EndpointStatus::kUp, 0, 0, restarted});
    }
    driver.handle(EndpointExclusion{1, false});
    const std::size_t received = count_attempts_at(driver, 1, 5000, 200);
    EXPECT_GE(received, 2u);
    EXPECT_EQ(received > 40, restart_listed);
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

// Outcomes of attempts at a former incarnation must not lower the share of a restarted endpoint.
TEST(EndpointUpdates, VoidOutcomesOfAFormerIncarnation) {
  Settings settings = basic_settings();
  settings.slow_start_window = Duration{0};
  Driver driver(settings);
  driver.list_endpoints(4);
  for (RequestId id = 0; id < 40; ++id) {
    driver.request(id, kNonIdempotentClass);
  }
  driver.update_endpoint({0, EndpointStatus::kUp, 0, 0, driver.now});
  for (const StartAttempt& attempt : std::vector<StartAttempt>(driver.attempts)) {
    driver.outcome(attempt.id, 0, attempt.endpoint == 0 ? Result::kReset : Result::kOk);
  }
  EXPECT_GT(count_attempts_at(driver, 0, 100, 100), 12u);  // an even share is 25
}

// A fleet listed by a delta must be used at once. Otherwise only one endpoint would be used until
// the next refresh of the fleet's statistics.
TEST(EndpointUpdates, PutAFleetListedByADeltaToUseAtOnce) {
  Driver driver;
  EndpointUpdate changes{UpdateKind::kDelta, {}};
  for (EndpointId i = 0; i < 100; ++i) {
    changes.endpoints.push_back({i, EndpointStatus::kUp, 0, 0, {}});
  }
  driver.handle(changes);
  std::set<EndpointId> used_endpoints;
  for (RequestId id = 0; id < 8; ++id) {
    driver.request(id);
    used_endpoints.insert(driver.attempts.back().endpoint);
  }
  EXPECT_GT(used_endpoints.size(), 4u);
}

TEST(EndpointUpdates, EndAttemptsAtADrainingOrRemovedEndpoint) {
  for (const EndpointStatus state : {EndpointStatus::kDraining, EndpointStatus::kRemoved}) {
    Driver driver;
    driver.list_endpoints(2);
    driver.update_endpoint({0, state, 0, 0, {}});
    for (RequestId id = 0; id < 20; ++id) {
      driver.request(id);
    }
    for (const auto& attempt : driver.attempts) {
      EXPECT_EQ(attempt.endpoint, 1u);
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
  for (const auto& attempt : driver.attempts) {
    EXPECT_EQ(attempt.endpoint, 2u);
  }
}

}  // namespace
}  // namespace beechhill::test
