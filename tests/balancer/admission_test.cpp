// Tests admission: priority levels, quotas, fair queues, and the deadlines of queued requests.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

TEST(Admission, RejectsAQueuedRequestWhenItsQueueDeadlinePasses) {
  Driver driver;  // has no endpoints, so the request is queued
  driver.request(1, kNonIdempotentClass);
  EXPECT_TRUE(driver.final_answers.empty());
  driver.advance(milliseconds(1200));
  EXPECT_EQ(driver.final_answers.count(1), 1u);
}

TEST(Admission, RejectsANewRequestWhenItsQueueIsFull) {
  Driver driver;
  for (RequestId id = 0; id < 400; ++id) {
    driver.request(id, kIdempotentClass, 0);
  }
  EXPECT_GT(driver.final_answers.size(), 0u);
  EXPECT_EQ(driver.final_answers.count(0), 0u);
  EXPECT_EQ(driver.final_answers.count(399), 1u);
}

TEST(Admission, DoesNotLetAHeavyTenantDelayALightOne) {
  Settings settings = basic_settings();
  settings.tenants = {{0.5, 0}, {0.5, 0}};
  Driver driver(settings);
  for (RequestId id = 0; id < 60; ++id) {
    driver.request(id, kIdempotentClass, 0);
  }
  driver.request(1000, kIdempotentClass, 1);
  // The limit is not reached, so all requests start, in the order in which the queues release them.
  driver.list_endpoints(2);
  std::size_t position = 0;
  while (position < driver.attempts.size() && driver.attempts[position].id != 1000) {
    ++position;
  }
  EXPECT_LT(position, 5u);
}

TEST(Admission, SendsTheHigherPriorityFirst) {
  Settings settings = basic_settings();
  settings.classes[kKeyedClass].priority_weight = 5;
  Driver driver(settings);
  for (RequestId id = 0; id < 10; ++id) {
    driver.request(id, kIdempotentClass);
  }
  driver.request(50, kKeyedClass);
  driver.list_endpoints(1);
  ASSERT_FALSE(driver.attempts.empty());
  EXPECT_EQ(driver.attempts.front().id, 50u);
}

TEST(Admission, SendsRequestsOverQuotaLast) {
  Settings settings = basic_settings();
  settings.over_quota_priority_factor = 0.1;
  settings.tenants = {{0.5, 1}, {0.5, 100}};
  Driver driver(settings);
  for (RequestId id = 0; id < 20; ++id) {
    driver.request(id, kIdempotentClass, 0);
  }
  for (RequestId id = 20; id < 30; ++id) {
    driver.request(id, kIdempotentClass, 1);
  }
  driver.list_endpoints(1);
  ASSERT_EQ(driver.attempts.size(), 30u);
  for (std::size_t i = 16; i < 30; ++i) {
    EXPECT_LT(driver.attempts[i].id, 20u) << i;
  }
}

// At a replica that receives a fraction of a request per second, random variation must not mark
// requests within a quota as over it.
TEST(Admission, TakesFewRequestsAsWithinQuotaAtOneOfManyReplicas) {
  Settings settings = basic_settings();
  settings.over_quota_priority_factor = 0.1;
  settings.replicas = 400;
  settings.tenants = {{0.5, 24}, {0.5, 24}};
  Driver driver(settings);
  driver.request(1, kIdempotentClass, 0);
  driver.advance(milliseconds(100));
  driver.request(2, kIdempotentClass, 0);
  driver.request(3, kIdempotentClass, 1);
  driver.list_endpoints(1);
  ASSERT_EQ(driver.attempts.size(), 3u);
  // All requests have the same priority level, which alternates between tenants.
  EXPECT_EQ(driver.attempts.back().id, 2u);
}

// A queued request must be rejected while its client has time to retry, even if the client's
// deadline is shorter than that of the class.
TEST(Admission, RejectsAQueuedRequestBeforeHalfOfItsClientsTime) {
  Driver driver;  // has no endpoints, so the request is queued
  driver.handle(Request{1, kIdempotentClass, kNoTenant, driver.now + milliseconds(600), {}});
  driver.advance(milliseconds(290));
  EXPECT_EQ(driver.final_answers.count(1), 1u);
}

TEST(Deadlines, RejectARequestThatArrivesTooLate) {
  Driver driver;
  driver.list_endpoints(2);
  const auto actions = driver.handle(Request{1, kNonIdempotentClass, kNoTenant, driver.now, {}});
  EXPECT_EQ(count<StartAttempt>(actions), 0u);
  EXPECT_EQ(count<Reject>(actions), 1u);
}

// Guards against keeping a request queued past its deadline and then sending it (incident i93a7ab).
TEST(Deadlines, AnswerAQueuedRequestWithLittleTimeLeft) {
  Driver driver;
  driver.handle(Request{1, kNonIdempotentClass, kNoTenant, driver.now + milliseconds(21), {}});
  driver.advance(milliseconds(21));
  EXPECT_EQ(driver.final_answers.count(1), 1u);
  driver.list_endpoints(2);
  EXPECT_TRUE(driver.attempts.empty());
}

TEST(Deadlines, SendNothingOverdueToANewEndpoint) {
  Driver driver;
  driver.handle(Request{1, kNonIdempotentClass, kNoTenant, driver.now + milliseconds(21), {}});
  driver.now += milliseconds(30);  // no timer expires in between
  driver.list_endpoints(2);
  EXPECT_TRUE(driver.attempts.empty());
  EXPECT_EQ(driver.final_answers.count(1), 1u);
}

TEST(Deadlines, FailARequestThatTimesOut) {
  Driver driver;
  driver.list_endpoints(2);
  driver.request(1, kNonIdempotentClass);
  driver.advance(milliseconds(4000));
  EXPECT_EQ(count<Fail>(driver.outcome(1, 0, Result::kTimeout)), 1u);
}

TEST(Deadlines, SendNothingForAClientThatDisconnected) {
  Driver driver;
  driver.request(1);
  driver.handle(ClientDisconnected{1});
  driver.list_endpoints(2);
  driver.advance(milliseconds(5000));
  EXPECT_TRUE(driver.attempts.empty());
  EXPECT_TRUE(driver.final_answers.empty());
}

}  // namespace
}  // namespace beechhill::test
