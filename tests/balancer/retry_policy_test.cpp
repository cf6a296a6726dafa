// Retries by idempotency, and final answers without success.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

// A rejection advises when to retry, within what clients honour; requests that are rejected
// together get different times.
TEST(Rejections, AdviseDifferentRetryAfterTimes) {
  Settings settings = basic_settings();
  settings.max_retry_after = milliseconds(1500);
  Driver driver(settings);
  for (RequestId id = 0; id < 40; ++id) {
    driver.request(id);
  }
  driver.advance(milliseconds(4000));  // no endpoint ever comes
  ASSERT_EQ(count<Reject>(driver.actions), 40u);
  Duration shortest = Duration::max(), longest{0};
  for (const auto& a : driver.actions) {
    if (const auto* reject = std::get_if<Reject>(&a)) {
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
  for (const Result r : kMaybeRan) {
    Driver driver;
    driver.list_endpoints(4);
    driver.request(1, kNonIdempotentClass);
    const auto out = driver.outcome(1, 0, r);
    EXPECT_EQ(count<StartAttempt>(out), 0u);
    EXPECT_EQ(count<Reject>(out), 0u);
    EXPECT_EQ(count<Fail>(out), 1u);
  }
}

TEST(RetryPolicy, RetriesANonIdempotentRequestThatNeverRan) {
  for (const Result r : kNeverRan) {
    Driver driver;
    driver.list_endpoints(4);
    driver.request(1, kNonIdempotentClass);
    driver.outcome(1, 0, r);
    driver.advance(milliseconds(300));
    ASSERT_EQ(driver.attempts.size(), 2u);
    EXPECT_NE(driver.attempts[0].endpoint, driver.attempts[1].endpoint);
  }
}

TEST(RetryPolicy, RetriesAKeyedRequestWithinItsCell) {
  Driver driver;
  driver.list_endpoints(6);  // cells of two
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
  const auto out = driver.outcome(1, 0, Result::kError);
  EXPECT_EQ(count<StartAttempt>(out), 0u);
  EXPECT_EQ(count<Fail>(out), 1u);
}

// A retry may leave a connect timeout after it starts: the first attempt must be remembered then,
// too.
TEST(RetryPolicy, FailsAKeyedRequestWhoseRetryCouldLeaveTooLate) {
  Driver driver;
  driver.list_endpoints(6);
  driver.request(1, kKeyedClass);
  driver.advance(milliseconds(2950));
  EXPECT_EQ(count<Fail>(driver.outcome(1, 0, Result::kError)), 1u);
}

// The scope is that of the place where the first attempt went, wherever the list says by now that
// the endpoint stands.
TEST(RetryPolicy, RetriesAKeyedRequestWhereItsFirstAttemptWent) {
  Driver driver;
  driver.list_endpoints(6);  // cells of two
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
    const auto out = driver.outcome(1, 0, Result::kError);
    EXPECT_EQ(count<Reject>(out), scope == DeduplicationScope::kAll ? 1u : 0u);
    EXPECT_EQ(count<Fail>(out), scope == DeduplicationScope::kAll ? 0u : 1u);
  }
}

}  // namespace
}  // namespace beechhill::test
