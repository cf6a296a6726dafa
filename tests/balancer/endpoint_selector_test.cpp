// Tests endpoint selection: even spreading, load weights, the subset in use, and other zones.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

TEST(EndpointSelection, StartsEveryRequestWhileEndpointsAreIdle) {
  Driver driver;
  driver.list_endpoints(4);
  for (RequestId id = 0; id < 40; ++id) {
    EXPECT_EQ(count<StartAttempt>(driver.request(id, id % 3)), 1u);
  }
  EXPECT_TRUE(driver.final_answers.empty());
}

TEST(EndpointSelection, SpreadsEvenlyOverEqualEndpoints) {
  Driver driver;
  driver.list_endpoints(4);
  for (RequestId id = 0; id < 40; ++id) {
    driver.request(id);
  }
  std::map<EndpointId, int> attempts_by_endpoint;
  for (const auto& attempt : driver.attempts) {
    ++attempts_by_endpoint[attempt.endpoint];
  }
  for (const auto& [endpoint, count] : attempts_by_endpoint) {
    EXPECT_EQ(count, 10) << endpoint;
  }
}

TEST(LoadWeights, FollowLoadReports) {
  Driver driver;
  driver.list_endpoints(2);
  for (int i = 0; i < 20; ++i) {
    driver.handle(HealthCheckResult{0, Result::kOk, {0.5, 30.0}});
    driver.handle(HealthCheckResult{1, Result::kOk, {0.5, 10.0}});
  }
  for (RequestId id = 0; id < 40; ++id) {
    driver.request(id);
  }
  const auto fast = std::count_if(driver.attempts.begin(), driver.attempts.end(),
                                  [](auto& attempt) { return attempt.endpoint == 0; });
  // The ratio of the weights is 3 to 1, and the prior reduces it a little.
  EXPECT_NEAR(static_cast<double>(fast), 29, 2);
}

TEST(LoadWeights, AreAtLeastATenthOfTheMean) {
  Driver driver;
  driver.list_endpoints(2);
  for (int i = 0; i < 20; ++i) {
    driver.handle(HealthCheckResult{0, Result::kOk, {0.5, 1000.0}});
    driver.handle(HealthCheckResult{1, Result::kOk, {0.5, 0.01}});
  }
  for (RequestId id = 0; id < 100; ++id) {
    driver.request(id);
  }
  EXPECT_GE(std::count_if(driver.attempts.begin(), driver.attempts.end(),
                          [](auto& attempt) { return attempt.endpoint == 1; }),
            3);
}

TEST(LoadWeights, IgnoreReportsOfNearlyIdleEndpoints) {
  Driver driver;
  driver.list_endpoints(2);
  // Without a prior, this report would give a weight of 50,000.
  driver.handle(HealthCheckResult{0, Result::kOk, {0.001, 50.0}});
  driver.handle(HealthCheckResult{1, Result::kOk, {0.5, 10.0}});
  for (RequestId id = 0; id < 20; ++id) {
    driver.request(id);
  }
  EXPECT_NEAR(std::count_if(driver.attempts.begin(), driver.attempts.end(),
                            [](auto& attempt) { return attempt.endpoint == 1; }),
              7, 3);
}

// A report of one endpoint must count for all endpoints of its instance type, which have similar
// capacity. Otherwise a replica with a small budget of health checks would have no weights for
// minutes.
TEST(LoadWeights, StartFromTheInstanceTypeBeforeTheFirstReport) {
  Driver driver;
  driver.list_endpoints_of_types(8, [](EndpointId i) { return i % 2; });
  for (int i = 0; i < 20; ++i) {
    driver.handle(HealthCheckResult{0, Result::kOk, {0.5, 30.0}});
    driver.handle(HealthCheckResult{1, Result::kOk, {0.5, 10.0}});
  }
  for (RequestId id = 0; id < 120; ++id) {
    driver.request(id);
  }
  const auto fast = std::count_if(driver.attempts.begin(), driver.attempts.end(),
                                  [](auto& attempt) { return attempt.endpoint % 2 == 0; });
  EXPECT_GT(fast, 80);
}

// A replica must use no more endpoints than its request rate supports, as with few requests per
// endpoint it would not detect a slow one (incident id9112b).
TEST(EndpointSubset, GrowsWithTheRequestRate) {
  std::size_t rare = 0;
  std::size_t frequent = 0;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    Settings settings = basic_settings();
    settings.seed = seed;
    for (const auto pause : {milliseconds(1500), milliseconds(30)}) {
      Driver driver(settings);
      driver.list_endpoints(60);
      std::set<EndpointId> sent;
      for (RequestId id = 0; id < 200; ++id) {
        driver.request(id);
        sent.insert(driver.attempts.back().endpoint);
        driver.advance(milliseconds(100));
        driver.outcome(id, 0, Result::kOk);
        driver.advance(pause);
      }
      (pause > milliseconds(1000) ? rare : frequent) += sent.size();
    }
  }
  EXPECT_LT(rare, 20u * 14);
  EXPECT_GT(frequent, 20u * 55);
}

// A replica that has just started must use as many endpoints as its request rate supports, although
// the rate is averaged over five seconds. Otherwise replicas that start together would overload a
// few endpoints.
TEST(EndpointSubset, FollowsTheRequestRateSoonAfterStart) {
  Settings settings = basic_settings();
  settings.replicas = 1000;
  std::size_t used_count = 0;
  for (settings.seed = 0; settings.seed < 10; ++settings.seed) {
    Driver driver(settings);
    driver.list_endpoints(60);
    std::set<EndpointId> sent;
    for (RequestId id = 0; id < 100; ++id) {
      driver.request(id);
      if (id >= 64) {
        sent.insert(driver.attempts.back().endpoint);  // from 1 s after the start
      }
      driver.advance(milliseconds(10));
      driver.outcome(id, 0, Result::kOk);
      driver.advance(milliseconds(6));
    }
    used_count += sent.size();
  }
  // Each run counts 36 attempts. With a fifth of the actual rate, they would use 13 endpoints.
  EXPECT_GT(used_count, 10u * 26);
}

// Replicas that start together must not all choose the same endpoint first (incidents id9112b,
// ic9b421, i225916).
TEST(EndpointSelection, SpreadsByWeightOverReplicasThatGetOneRequestEach) {
  std::map<EndpointId, int> sent;
  for (std::uint64_t seed = 0; seed < 400; ++seed) {
    Settings settings = basic_settings();
    settings.seed = seed;
    Driver driver(settings);
    driver.list_endpoints(4);
    for (int i = 0; i < 40; ++i) {
      for (EndpointId id = 0; id < 4; ++id) {
        driver.handle(HealthCheckResult{id, Result::kOk, {0.5, id == 3 ? 30.0 : 10.0}});
      }
    }
    driver.request(1);
    ++sent[driver.attempts.at(0).endpoint];
  }
  EXPECT_NEAR(sent[3], 190, 50);  // endpoint 3 has half of the total weight
  EXPECT_NEAR(sent[0], 70, 30);
}

// Guards against a decay of the attempt counts so fast that the first endpoints in the list get
// most requests.
TEST(EndpointSelection, TakesTurnsAtAFewRequestsASecond) {
  Driver driver;
  driver.list_endpoints(12);
  std::map<EndpointId, int> sent;
  for (RequestId id = 0; id < 100; ++id) {
    driver.request(id);
    ++sent[driver.attempts.back().endpoint];
    driver.advance(milliseconds(20));
    driver.outcome(id, 0, Result::kOk);
    driver.advance(milliseconds(500));
  }
  EXPECT_EQ(sent.size(), 12u);
  for (const auto& [endpoint, times] : sent) {
    EXPECT_LE(times, 10) << endpoint;
  }
}

// Invalid reports must not take the weight of an endpoint out of its bounds.
TEST(LoadWeights, StayBoundedOnAbsurdReports) {
  constexpr double kNaN = std::numeric_limits<double>::quiet_NaN(),
                   kInfinity = std::numeric_limits<double>::infinity();
  for (const LoadReport& invalid_report :
       {LoadReport{kNaN, 10.0}, LoadReport{0.5, kNaN}, LoadReport{0.5, kInfinity},
        LoadReport{-1.0, 10.0}, LoadReport{0.5, 1e300}}) {
    Driver driver;
    driver.list_endpoints(4);
    for (EndpointId id = 0; id < 4; ++id) {
      driver.handle(HealthCheckResult{id, Result::kOk, {0.5, 10.0}});
    }
    driver.handle(HealthCheckResult{0, Result::kOk, invalid_report});
    std::map<EndpointId, int> attempts_by_endpoint;
    for (RequestId request_id = 0; request_id < 100; ++request_id) {
      driver.request(request_id);
      ++attempts_by_endpoint[driver.attempts.back().endpoint];
    }
    for (EndpointId id = 0; id < 4; ++id) {
      EXPECT_GT(attempts_by_endpoint[id], 10) << id;
    }
  }
}

Settings cross_zone_settings() {
  Settings settings = basic_settings();
  settings.cross_zone_cost = 0.05;
  return settings;
}

// Returns the share of requests sent to the other zone while the balancer's zone reports
// `utilization`. Sends a request every 20 ms; each takes 200 ms.
double cross_zone_share(double utilization) {
  Driver driver(cross_zone_settings());
  EndpointUpdate list{UpdateKind::kSnapshot, {}};
  for (EndpointId id = 0; id < 8; ++id) {
    list.endpoints.push_back({id, EndpointStatus::kUp, id % 2, id % 2, {}});
  }
  driver.handle(list);
  std::size_t done = 0;
  std::size_t crossed = 0;
  for (RequestId id = 1; id <= 600; ++id, driver.advance(milliseconds(20))) {
    driver.request(id);
    for (; driver.attempts.size() > done + 10; ++done) {
      const StartAttempt& attempt = driver.attempts[done];
      const double reported = attempt.endpoint % 2 == 0 ? utilization : 0.1;
      driver.handle(Outcome{attempt.id, 0, Result::kOk, true, {reported, 10 * reported}});
    }
  }
  for (const StartAttempt& attempt : driver.attempts) {
    crossed += attempt.id > 200 && attempt.endpoint % 2 == 1;
  }
  return static_cast<double>(crossed) / 400;
}

// The balancer's zone has capacity at utilizations of 0.2 and 0.6, so no request may be sent to the
// other zone.
TEST(CrossZone, StaysInTheOwnZoneWhileItHasCapacity) {
  EXPECT_EQ(cross_zone_share(0.2), 0);
  EXPECT_EQ(cross_zone_share(0.6), 0);
}

// The share of requests sent to the other zone must grow with the utilization of the balancer's
// zone, up to an even share.
TEST(CrossZone, SpreadsAsTheOwnZoneFills) {
  const double nearly_full = cross_zone_share(0.95);
  const double full = cross_zone_share(1.3);
  EXPECT_GT(nearly_full, 0.05);
  EXPECT_GT(full, nearly_full);
  EXPECT_LE(full, 0.55);
}

// Without load reports, a concurrency limit that is reached indicates that the balancer's zone is
// full.
TEST(CrossZone, SpreadsWhenTheLimitBindsWithoutReports) {
  Driver driver(cross_zone_settings());
  driver.update_endpoint({0, EndpointStatus::kUp, 0, 0, {}});
  driver.update_endpoint({1, EndpointStatus::kUp, 1, 1, {}});
  RequestId id = 0;
  // Each response of the balancer's zone is late, so the limit falls to its minimum.
  for (int round = 0; round < 30; ++round) {
    const RequestId late_id = ++id;
    driver.request(late_id);
    driver.advance(milliseconds(990));
    driver.outcome(late_id, 0, Result::kOk);
  }
  const std::size_t before = driver.attempts.size();
  while (driver.request(++id).size() > 0 && id < 100) {
    continue;
  }
  EXPECT_GT(driver.attempts.size() - before, 3u);
  EXPECT_TRUE(std::any_of(driver.attempts.begin(), driver.attempts.end(),
                          [](auto& attempt) { return attempt.endpoint == 1; }));
}

// Requests must be sent to the other zone at once if no endpoint of the balancer's zone is up.
TEST(CrossZone, CrossesAtOnceWhenTheOwnZoneHasNoEndpoint) {
  Driver driver(cross_zone_settings());
  driver.update_endpoint({0, EndpointStatus::kDraining, 0, 0, {}});
  driver.update_endpoint({1, EndpointStatus::kUp, 1, 1, {}});
  EXPECT_EQ(count<StartAttempt>(driver.request(1)), 1u);
}

}  // namespace
}  // namespace beechhill::test
