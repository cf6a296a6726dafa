// Tests retries by idempotency, and final answers without success.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

// Requests rejected together must be advised different delays, none longer than clients honour.
TEST(Rejections, AdviseDifferentRetryAfterTimes) {
  Settings settings = basic_settings();
  settings.max_retry_after = milliseconds(1500);
  Driver driver(settings);
  for (RequestId id = 0; id < 40; ++id) {
    driver.request(id);
  }
  driver.advance(milliseconds(4000));  // no endpoint is ever listed
  ASSERT_EQ(count<Reject>(driver.actions), 40u);
  Duration shortest = Duration::max(), longest{0};
  for (const auto& action : driver.actions) {
    if (const auto* reject = std::get_if<Reject>(&action)) {
      shortest = std::min(shortest, reject->retry_after);
      longest = std::max(longest, reject->retry_after);
    }
  }
  EXPECT_GT(shortest, milliseconds(0));
  EXPECT_GT(longest, 2 * shortest);
  EXPECT_LE(longest, settings.max_retry_after);
}

constexpr Result kMaybeRan[] = {Result::kError, Result::kTimeout, Result::kReset,
                                Result::kCancelled};
constexpr Result kNeverRan[] = {Result::kOverloaded, Result::kConnectFailed, Result::kSkipped};

TEST(RetryPolicy, FailsANonIdempotentRequestThatMayHaveRun) {
  for (const Result result : kMaybeRan) {
    Driver driver;
    driver.list_endpoints(4);
    driver.request(1, kNonIdempotentClass);
    const auto actions = driver.outcome(1, 0, result);
    EXPECT_EQ(count<StartAttempt>(actions), 0u);
    EXPECT_EQ(count<Reject>(actions), 0u);
    EXPECT_EQ(count<Fail>(actions), 1u);
  }
}

TEST(RetryPolicy, RetriesANonIdempotentRequestThatNeverRan) {
  for (const Result result : kNeverRan) {
    Driver driver;
    driver.list_endpoints(4);
    driver.request(1, kNonIdempotentClass);
    driver.outcome(1, 0, result);
    driver.advance(milliseconds(300));
    ASSERT_EQ(driver.attempts.size(), 2u);
    EXPECT_NE(driver.attempts[0].endpoint, driver.attempts[1].endpoint);
  }
}

TEST(RetryPolicy, RetriesAKeyedRequestWithinItsCell) {
  Driver driver;
  driver.list_endpoints(6);  // each cell has two endpoints
  driver.request(1, kKeyedClass);
  driver.advance(milliseconds(100));
  driver.outcome(1, 0, Result::kError);
  ASSERT_EQ(driver.attempts.size(), 2u);
  EXPECT_EQ(driver.attempts[0].endpoint / 2, driver.attempts[1].endpoint / 2);
}

TEST(RetryPolicy, FailsAKeyedRequestPastItsDeduplicationWindow) {
  Driver driver;
  driver.list_endpoints(6);
  driver.request(1, kKeyedClass);
  driver.advance(milliseconds(3000));
  const auto actions = driver.outcome(1, 0, Result::kError);
  EXPECT_EQ(count<StartAttempt>(actions), 0u);
  EXPECT_EQ(count<Fail>(actions), 1u);
}

// A retry may be sent up to connect_timeout after it starts. Even then the deduplication window of
// the first attempt must not have ended.
TEST(RetryPolicy, FailsAKeyedRequestWhoseRetryCouldLeaveTooLate) {
  Driver driver;
  driver.list_endpoints(6);
  driver.request(1, kKeyedClass);
  driver.advance(milliseconds(2950));
  EXPECT_EQ(count<Fail>(driver.outcome(1, 0, Result::kError)), 1u);
}

// The deduplication scope is the zone and cell of the endpoint when the first attempt was sent,
// even if the endpoint list has since moved the endpoint.
TEST(RetryPolicy, RetriesAKeyedRequestWhereItsFirstAttemptWent) {
  Driver driver;
  driver.list_endpoints(6);  // each cell has two endpoints
  driver.request(1, kKeyedClass);
  const EndpointId first = driver.attempts[0].endpoint;
  const EndpointId other = (first + 2) % 6;
  driver.handle(EndpointUpdate{
      UpdateKind::kDelta,
      {{first, EndpointStatus::kUp, 0, 77, {}}, {other, EndpointStatus::kUp, 0, 77, {}}}});
  driver.outcome(1, 0, Result::kError);
  ASSERT_EQ(driver.attempts.size(), 2u);
  EXPECT_EQ(driver.attempts[1].endpoint, first ^ 1);
}

TEST(RetryPolicy, RejectsAKeyedRequestOnlyWhereAllEndpointsDeduplicate) {
  for (const DeduplicationScope scope :
       {DeduplicationScope::kAll, DeduplicationScope::kZone, DeduplicationScope::kCell}) {
    Settings settings = basic_settings();
    settings.max_attempts = 1;
    settings.classes[kKeyedClass].deduplication_scope = scope;
    Driver driver(settings);
    driver.list_endpoints(4);
    driver.request(1, kKeyedClass);
    const auto actions = driver.outcome(1, 0, Result::kError);
    EXPECT_EQ(count<Reject>(actions), scope == DeduplicationScope::kAll ? 1u : 0u);
    EXPECT_EQ(count<Fail>(actions), scope == DeduplicationScope::kAll ? 0u : 1u);
  }
}

}  // namespace
}  // namespace beechhill::test
