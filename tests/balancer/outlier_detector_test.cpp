// Outlier detection: slow, failing and frozen endpoints, and what looks alike but is not one.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

// Guards against a slow type being crowded where a replica meets each of its endpoints once
// (incident ic9b421).
TEST(OutlierDetection, CountsASlowAnswerForItsInstanceType) {
  std::ptrdiff_t slow = 0;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    Settings settings = basic_settings();
    settings.seed = seed;
    Driver driver(settings);
    driver.list_endpoints_of_types(40, [](EndpointId i) { return i % 5 == 0; });
    for (RequestId id = 0; id < 24; ++id) {  // half of the endpoints are never met
      driver.request(id);
      driver.advance(milliseconds(driver.attempts.back().endpoint % 5 == 0 ? 900 : 100));
      driver.outcome(id, 0, Result::kOk);
    }
    const std::size_t before = driver.attempts.size();
    for (RequestId id = 100; id < 140; ++id) {
      driver.request(id);
    }
    slow += std::count_if(driver.attempts.begin() + static_cast<std::ptrdiff_t>(before),
                          driver.attempts.end(), [](auto& s) { return s.endpoint % 5 == 0; });
  }
  EXPECT_LT(slow, 20 * 5);  // an even share is 20 * 8
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

// The tier below fails, or a dependency that all share.
TEST(OutlierDetection, KeepsSharesWhenAllFail) {
  Driver driver;
  driver.list_endpoints(6);
  std::map<EndpointId, int> attempts_of;
  for (RequestId id = 0; id < 300; ++id) {
    driver.request(id, kNonIdempotentClass);
    ++attempts_of[driver.attempts.back().endpoint];
    driver.advance(milliseconds(10));
    driver.outcome(id, 0, id * 7 % 11 < 5 ? Result::kError : Result::kOk);
  }
  EXPECT_EQ(attempts_of.size(), 6u);
  for (const auto& [endpoint, n] : attempts_of) {
    EXPECT_GT(n, 20) << endpoint;
  }
}

// A third of a last tier fails fast: incident ib44446.
std::size_t sent_to_failing_third() {
  Settings settings = basic_settings();
  settings.tier = 1;
  settings.tier_count = 2;
  Driver driver(settings);
  driver.list_endpoints(12);
  std::size_t to_failing = 0;
  for (RequestId id = 0; id < 600; ++id) {
    driver.request(id, kNonIdempotentClass);
    const bool bad = driver.attempts.back().endpoint < 5;
    to_failing += id >= 100 && bad;
    driver.advance(milliseconds(bad ? 2 : 40));
    driver.outcome(id, 0, bad && id % 4 ? Result::kError : Result::kOk);
  }
  return to_failing;
}

TEST(OutlierDetection, AvoidsFailingEndpointsInTheLastTierEvenWhenManyFail) {
  EXPECT_LT(sent_to_failing_third(), 75u);
}

TEST(OutlierDetection, KeepsSharesAboveTheLastTierOnErrorsFromBelow) {
  Settings settings = basic_settings();
  settings.tier = 0;
  settings.tier_count = 2;
  Driver driver(settings);
  driver.list_endpoints(4);
  std::map<EndpointId, int> attempts_of;
  for (RequestId id = 0; id < 400; ++id) {
    driver.request(id, kNonIdempotentClass);
    ++attempts_of[driver.attempts.back().endpoint];
    driver.advance(milliseconds(20));
    driver.outcome(id, 0, id % 9 == 4 ? Result::kError : Result::kOk);
  }
  for (const auto& [endpoint, n] : attempts_of) {
    EXPECT_NEAR(n, 100, 25) << endpoint;
  }
}

// Guards against half of the endpoints failing one class and the others collapsing, as they get the
// other classes too.
TEST(OutlierDetection, KeepsOtherClassesWhenOneClassFails) {
  Driver driver;
  driver.list_endpoints(6);
  int others = 0;
  int failing = 0;
  for (RequestId id = 0; id < 400; ++id) {
    const ClassId c = id % 2 == 0 ? kIdempotentClass : kNonIdempotentClass;
    driver.request(id, c);
    const StartAttempt send = driver.attempts.back();
    const bool fails = c == kNonIdempotentClass && send.endpoint < 3 && id > 100;
    if (id > 200) {
      (c == kNonIdempotentClass ? failing : others) += send.endpoint < 3;
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
  for (int i = 0; i < 40; ++i) {  // the usual latency
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
  std::map<EndpointId, int> attempts_of;
  for (RequestId id = 0; id < 200; ++id) {
    driver.request(id);
    const EndpointId endpoint = driver.attempts.back().endpoint;
    ++attempts_of[endpoint];
    driver.advance(milliseconds(endpoint == 0 ? 200 : 20));
    driver.outcome(id, 0, Result::kOk);
  }
  EXPECT_LT(attempts_of[0], 30);  // an even share is 50
}

TEST(OutlierDetection, KeepsSharesWhenAllAreSlow) {
  Driver driver;
  driver.list_endpoints(4);
  std::map<EndpointId, int> attempts_of;
  for (RequestId id = 0; id < 200; ++id) {
    driver.request(id);
    ++attempts_of[driver.attempts.back().endpoint];
    driver.advance(milliseconds(id < 50 ? 20 : 120));
    driver.outcome(id, 0, Result::kOk);
  }
  for (const auto& [endpoint, n] : attempts_of) {
    EXPECT_NEAR(n, 50, 8) << endpoint;
  }
}

}  // namespace
}  // namespace beechhill::test
