// Tests what lowers and raises the concurrency limit, and its minimum.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

// Rare late responses must not lower the limit of a replica with one or two requests in flight so
// far that requests are queued.
TEST(ConcurrencyLimit, StaysOpenOnRareLateAnswersAtASmallReplica) {
  Driver driver;
  driver.list_endpoints(20);
  std::size_t queued = 0;
  for (RequestId id = 0; id < 60; ++id) {
    queued += driver.request(id).empty();
    driver.advance(id % 30 == 20 ? milliseconds(800) : milliseconds(200));
    driver.outcome(id, 0, Result::kOk);
    driver.advance(milliseconds(300));
  }
  EXPECT_EQ(queued, 0u);
  EXPECT_EQ(driver.final_answers.size(), 0u);
  EXPECT_EQ(driver.attempts.size(), 60u);
}

// The limit must also delay or reject requests if a replica has less than one in flight on average.
TEST(ConcurrencyLimit, BindsBelowOneRequest) {
  Settings settings = basic_settings();
  settings.replicas = 400;
  Driver driver(settings);
  driver.list_endpoints(20);
  for (RequestId id = 0; id < 30; ++id) {
    driver.request(id, kNonIdempotentClass);
    driver.advance(milliseconds(1500));
    driver.outcome(id, 0, Result::kOk);
  }
  // Some requests are rejected after waiting, but not all.
  EXPECT_LT(driver.attempts.size(), 30u);
  EXPECT_GT(driver.attempts.size(), 5u);
}

// Sends 30 requests, of which 20 end as overloaded, so that the limit delays further requests.
void close_limit(Driver& driver, RequestId first_id) {
  for (RequestId id = first_id; id < first_id + 30; ++id) {
    driver.request(id, kIdempotentClass, 0);
  }
  for (RequestId id = first_id; id < first_id + 20; ++id) {
    driver.outcome(id, 0, Result::kOverloaded, true);
  }
}

TEST(ConcurrencyLimit, FallsOnOverloadedAnswersAndQueuesTheNext) {
  Driver driver;
  driver.list_endpoints(2);
  close_limit(driver, 0);
  driver.advance(milliseconds(500));
  std::size_t sent = 0;
  for (RequestId id = 100; id < 140; ++id) {
    sent += count<StartAttempt>(driver.request(id));
  }
  EXPECT_LT(sent, 10u);
}

TEST(ConcurrencyLimit, RecoversOnTimelyAnswers) {
  Driver driver;
  driver.list_endpoints(2);
  close_limit(driver, 0);
  for (RequestId id = 20; id < 30; ++id) {
    driver.outcome(id, 0, Result::kOk);
  }
  const auto burst = [&](RequestId first_id) {
    std::size_t sent = 0;
    for (RequestId id = first_id; id < first_id + 40; ++id) {
      sent += count<StartAttempt>(driver.request(id));
    }
    return sent;
  };
  driver.advance(milliseconds(2000));
  std::size_t ended = driver.attempts.size();
  const std::size_t sent_when_closed = burst(1000);
  // Sends requests at the rate that the limit allows, and gives each a timely response.
  for (RequestId next = 2000; next < 12000; next += 100) {
    driver.advance(milliseconds(50));
    for (; ended < driver.attempts.size(); ++ended) {
      driver.outcome(driver.attempts[ended].id, 0, Result::kOk);
    }
    burst(next);
  }
  std::size_t in_flight = 0;
  driver.advance(milliseconds(50));
  for (; ended < driver.attempts.size(); ++ended, ++in_flight) {
    driver.outcome(driver.attempts[ended].id, 0, Result::kOk);
  }
  EXPECT_GT(in_flight, sent_when_closed);
}

TEST(ConcurrencyLimit, IgnoresLateAnswersBelowTheFirstTier) {
  Settings settings = basic_settings();
  settings.tier = 1;
  settings.tier_count = 2;
  Driver driver(settings);
  driver.list_endpoints(4);
  for (RequestId id = 0; id < 8; ++id) {
    driver.request(id);
    driver.advance(milliseconds(900));
    driver.outcome(id, 0, Result::kOk);
  }
  std::size_t sent = 0;
  for (RequestId id = 100; id < 140; ++id) {
    sent += count<StartAttempt>(driver.request(id));
  }
  EXPECT_EQ(sent, 40u);
}

TEST(ConcurrencyLimit, FallsAtTheFirstTierWhenAllEndpointsAreLate) {
  Driver driver;
  driver.list_endpoints(4);
  RequestId id = 0;
  for (int round = 0; round < 30; ++round) {
    const RequestId first_id = id;
    for (int i = 0; i < 8; ++i) {
      driver.request(id++);
    }
    driver.advance(milliseconds(800));
    for (RequestId ended = first_id; ended < id; ++ended) {
      driver.outcome(ended, 0, Result::kOk);
    }
  }
  std::size_t sent = 0;
  for (int i = 0; i < 60; ++i) {
    sent += count<StartAttempt>(driver.request(id++));
  }
  EXPECT_LT(sent, 30u);
}

// Guards against timeouts of endpoints in slow start that lower the limit so far that it stays too
// low for minutes after the slow start.
TEST(ConcurrencyLimit, KeepsItsMinimumOverAFleetInSlowStart) {
  Driver driver;
  EndpointUpdate list{UpdateKind::kSnapshot, {}};
  for (EndpointId i = 0; i < 4; ++i) {
    list.endpoints.push_back({i, EndpointStatus::kUp, 0, 0, driver.now});
  }
  driver.handle(list);
  for (RequestId id = 0; id < 400; ++id) {
    const std::size_t before = driver.attempts.size();
    driver.request(id);
    driver.advance(milliseconds(50));
    if (driver.attempts.size() > before) {
      driver.outcome(driver.attempts.back().id, 0, Result::kTimeout, true);
    }
  }
  std::size_t sent = 0;
  for (RequestId id = 1000; id < 1010; ++id) {
    sent += count<StartAttempt>(driver.request(id));
  }
  EXPECT_GE(sent, 5u);  // of 10 requests; the minimum is four widths per endpoint
}

// Requests that are never answered, for example because a zone is cut off or responses are lost,
// must not occupy the limit until their distant deadlines while the endpoints are idle. Before the
// limit excluded them, the scenario split+mass of the second variant served 0.25 of its requests
// instead of 0.96.
TEST(ConcurrencyLimit, IsReleasedBySilentRequests) {
  Settings settings = basic_settings();
  for (ClassSettings& class_settings : settings.classes) {
    class_settings.deadline = std::chrono::seconds(40);
    class_settings.latency_objective = std::chrono::seconds(4);
  }
  Driver driver(settings);
  driver.list_endpoints(4);
  RequestId id = 0;
  const auto send = [&] {
    const std::size_t before = driver.attempts.size();
    driver.handle(
        Request{++id, kIdempotentClass, kNoTenant, driver.now + std::chrono::seconds(40), {}});
    return driver.attempts.size() > before;
  };
  const auto send_and_end = [&](int request_count, Result result) {
    for (int i = 0; i < request_count; ++i) {
      if (!send()) {
        continue;
      }
      driver.advance(milliseconds(100));
      driver.outcome(id, 0, result, true);
    }
  };
  send_and_end(50, Result::kOk);
  send_and_end(1, Result::kTimeout);  // makes the limit finite
  int sent = 0;
  while (send()) {
    ++sent;
  }
  ASSERT_LT(sent, 200);
  // None of these requests is answered. Queued requests wait for at most 2 s.
  driver.advance(milliseconds(1500));
  const std::size_t before = driver.attempts.size();
  for (int i = 0; i < sent; ++i) {
    send();
  }
  EXPECT_GE(driver.attempts.size(), before + static_cast<std::size_t>(sent) / 2);
  for (RequestId late = 52; late < 52 + static_cast<RequestId>(sent); ++late) {
    driver.outcome(late, 0, Result::kOk);
  }
  EXPECT_FALSE(driver.attempts.empty());
  // Each late response must release its width only once, so the limit is reached again.
  int more = 0;
  while (send()) {
    ASSERT_LT(++more, 1000);
  }
}

}  // namespace
}  // namespace beechhill::test
