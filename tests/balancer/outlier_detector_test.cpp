// Tests outlier detection: slow, failing and unresponsive endpoints, and cases in which no endpoint
// is an outlier.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

// A slow response must count for the whole instance type. Otherwise a replica that sends one
// request to each endpoint of a slow type would overload the type (incident ic9b421).
TEST(OutlierDetection, CountsASlowAnswerForItsInstanceType) {
  std::ptrdiff_t to_slow_type = 0;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    Settings settings = basic_settings();
    settings.seed = seed;
    Driver driver(settings);
    driver.list_endpoints_of_types(40, [](EndpointId i) { return i % 5 == 0; });
    // 24 requests leave about half of the endpoints without an attempt.
    for (RequestId id = 0; id < 24; ++id) {
      driver.request(id);
      driver.advance(milliseconds(driver.attempts.back().endpoint % 5 == 0 ? 900 : 100));
      driver.outcome(id, 0, Result::kOk);
    }
    const std::size_t before = driver.attempts.size();
    for (RequestId id = 100; id < 140; ++id) {
      driver.request(id);
    }
    to_slow_type += std::count_if(driver.attempts.begin() + static_cast<std::ptrdiff_t>(before),
                                  driver.attempts.end(),
                                  [](auto& attempt) { return attempt.endpoint % 5 == 0; });
  }
  EXPECT_LT(to_slow_type, 20 * 5);  // an even share is 20 * 8
}

TEST(OutlierDetection, SendsLittleToAnEndpointThatFailsFast) {
  Driver driver;
  driver.list_endpoints(6);
  std::size_t to_failing = 0;
  for (RequestId id = 0; id < 200; ++id) {
    driver.request(id, kNonIdempotentClass);
    const EndpointId endpoint = driver.attempts.back().endpoint;
    to_failing += endpoint == 0;
    driver.advance(milliseconds(endpoint == 0 ? 1 : 20));
    driver.outcome(id, 0, endpoint == 0 ? Result::kError : Result::kOk);
  }
  EXPECT_LT(to_failing, 10u);
}

// Errors of all endpoints, for example after a failure of the tier below or of a shared dependency,
// must not reduce the share of any endpoint.
TEST(OutlierDetection, KeepsSharesWhenAllFail) {
  Driver driver;
  driver.list_endpoints(6);
  std::map<EndpointId, int> attempts_by_endpoint;
  for (RequestId id = 0; id < 300; ++id) {
    driver.request(id, kNonIdempotentClass);
    ++attempts_by_endpoint[driver.attempts.back().endpoint];
    driver.advance(milliseconds(10));
    driver.outcome(id, 0, id * 7 % 11 < 5 ? Result::kError : Result::kOk);
  }
  EXPECT_EQ(attempts_by_endpoint.size(), 6u);
  for (const auto& [endpoint, count] : attempts_by_endpoint) {
    EXPECT_GT(count, 20) << endpoint;
  }
}

// Returns how many of 500 attempts are at the failing endpoints, while 5 of the 12 endpoints of a
// last tier fail fast (incident ib44446).
std::size_t count_attempts_at_failing_endpoints() {
  Settings settings = basic_settings();
  settings.tier = 1;
  settings.tier_count = 2;
  Driver driver(settings);
  driver.list_endpoints(12);
  std::size_t to_failing = 0;
  for (RequestId id = 0; id < 600; ++id) {
    driver.request(id, kNonIdempotentClass);
    const bool fails = driver.attempts.back().endpoint < 5;
    to_failing += id >= 100 && fails;
    driver.advance(milliseconds(fails ? 2 : 40));
    driver.outcome(id, 0, fails && id % 4 ? Result::kError : Result::kOk);
  }
  return to_failing;
}

TEST(OutlierDetection, AvoidsFailingEndpointsInTheLastTierEvenWhenManyFail) {
  EXPECT_LT(count_attempts_at_failing_endpoints(), 75u);
}

TEST(OutlierDetection, KeepsSharesAboveTheLastTierOnErrorsFromBelow) {
  Settings settings = basic_settings();
  settings.tier = 0;
  settings.tier_count = 2;
  Driver driver(settings);
  driver.list_endpoints(4);
  std::map<EndpointId, int> attempts_by_endpoint;
  for (RequestId id = 0; id < 400; ++id) {
    driver.request(id, kNonIdempotentClass);
    ++attempts_by_endpoint[driver.attempts.back().endpoint];
    driver.advance(milliseconds(20));
    driver.outcome(id, 0, id % 9 == 4 ? Result::kError : Result::kOk);
  }
  for (const auto& [endpoint, count] : attempts_by_endpoint) {
    EXPECT_NEAR(count, 100, 25) << endpoint;
  }
}

// Half of the endpoints fail one class. They must keep their share of the other class, as the other
// endpoints would otherwise collapse.
TEST(OutlierDetection, KeepsOtherClassesWhenOneClassFails) {
  Driver driver;
  driver.list_endpoints(6);
  int others = 0;
  int failing = 0;
  for (RequestId id = 0; id < 400; ++id) {
    const ClassId class_id = id % 2 == 0 ? kIdempotentClass : kNonIdempotentClass;
    driver.request(id, class_id);
    const StartAttempt attempt = driver.attempts.back();
    const bool fails = class_id == kNonIdempotentClass && attempt.endpoint < 3 && id > 100;
    if (id > 200) {
      (class_id == kNonIdempotentClass ? failing : others) += attempt.endpoint < 3;
    }
    driver.advance(milliseconds(10));
    driver.outcome(id, 0, fails ? Result::kError : Result::kOk);
  }
  EXPECT_GT(others, 30);   // of 100
  EXPECT_LT(failing, 30);  // of 100
}

TEST(OutlierDetection, SendsNoMoreToAFrozenEndpoint) {
  Driver driver;
  driver.list_endpoints(4);
  RequestId id = 0;
  for (int i = 0; i < 40; ++i) {  // establishes the usual latency
    driver.request(id);
    driver.advance(milliseconds(20));
    driver.outcome(id++, 0, Result::kOk);
  }
  std::size_t to_frozen = 0;
  for (int i = 0; i < 100; ++i) {
    driver.request(id);
    const EndpointId endpoint = driver.attempts.back().endpoint;
    driver.advance(milliseconds(20));
    if (endpoint == 0) {
      ++to_frozen;
      ++id;
    } else {
      driver.outcome(id++, 0, Result::kOk);
    }
  }
  EXPECT_LE(to_frozen, 3u);
}

TEST(OutlierDetection, SendsLessToAnEndpointSlowerThanItsReportsExplain) {
  Driver driver;
  driver.list_endpoints(4);
  std::map<EndpointId, int> attempts_by_endpoint;
  for (RequestId id = 0; id < 200; ++id) {
    driver.request(id);
    const EndpointId endpoint = driver.attempts.back().endpoint;
    ++attempts_by_endpoint[endpoint];
    driver.advance(milliseconds(endpoint == 0 ? 200 : 20));
    driver.outcome(id, 0, Result::kOk);
  }
  EXPECT_LT(attempts_by_endpoint[0], 30);  // an even share is 50
}

TEST(OutlierDetection, KeepsSharesWhenAllAreSlow) {
  Driver driver;
  driver.list_endpoints(4);
  std::map<EndpointId, int> attempts_by_endpoint;
  for (RequestId id = 0; id < 200; ++id) {
    driver.request(id);
    ++attempts_by_endpoint[driver.attempts.back().endpoint];
    driver.advance(milliseconds(id < 50 ? 20 : 120));
    driver.outcome(id, 0, Result::kOk);
  }
  for (const auto& [endpoint, count] : attempts_by_endpoint) {
    EXPECT_NEAR(count, 50, 8) << endpoint;
  }
}

}  // namespace
}  // namespace beechhill::test
