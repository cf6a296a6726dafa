// The concurrency limit: what lowers it, what raises it, and what it keeps.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

// Guards against a lone late answer, or a long tail, closing the limit of a replica with a request
// or two in flight.
TEST(ConcurrencyLimit, StaysOpenOnRareLateAnswersAtASmallReplica) {
  Driver driver;
  driver.list_endpoints(20);
  std::size_t held = 0;
  for (RequestId id = 0; id < 60; ++id) {
    held += driver.request(id).empty();
    driver.advance(id % 30 == 20 ? milliseconds(800) : milliseconds(200));
    driver.outcome(id, 0, Result::kOk);
    driver.advance(milliseconds(300));
  }
  EXPECT_EQ(held, 0u);
  EXPECT_EQ(driver.final_answers.size(), 0u);
  EXPECT_EQ(driver.attempts.size(), 60u);
}

// Guards against a limit that cannot bind where a replica has less than one request in flight.
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
  EXPECT_LT(driver.attempts.size(), 30u);  // some were queued for a while, and rejected
  EXPECT_GT(driver.attempts.size(), 5u);   // but never all
}

// Fills two endpoints with requests, then lets one of them refuse some until the limit binds.
void close_limit(Driver& driver, RequestId from) {
  for (RequestId id = from; id < from + 30; ++id) {
    driver.request(id, kIdempotentClass, 0);
  }
  for (RequestId id = from; id < from + 20; ++id) {
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
  const auto burst = [&](RequestId from) {
    std::size_t sent = 0;
    for (RequestId id = from; id < from + 40; ++id) {
      sent += count<StartAttempt>(driver.request(id));
    }
    return sent;
  };
  driver.advance(milliseconds(2000));
  std::size_t n = driver.attempts.size();
  const std::size_t closed = burst(1000);
  for (RequestId next = 2000; next < 12000; next += 100) {  // timely answers while the limit binds
    driver.advance(milliseconds(50));
    for (; n < driver.attempts.size(); ++n) {
      driver.outcome(driver.attempts[n].id, 0, Result::kOk);
    }
    burst(next);
  }
  std::size_t out = 0;
  driver.advance(milliseconds(50));
  for (; n < driver.attempts.size(); ++n, ++out) {
    driver.outcome(driver.attempts[n].id, 0, Result::kOk);
  }
  EXPECT_GT(out, closed);
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
    const RequestId from = id;
    for (int i = 0; i < 8; ++i) {
      driver.request(id++);
    }
    driver.advance(milliseconds(800));
    for (RequestId k = from; k < id; ++k) {
      driver.outcome(k, 0, Result::kOk);
    }
  }
  std::size_t sent = 0;
  for (int i = 0; i < 60; ++i) {
    sent += count<StartAttempt>(driver.request(id++));
  }
  EXPECT_LT(sent, 30u);
}

// Guards against a limit that learnt from endpoints in slow start only, and stays closed for
// minutes after they are warm.
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
  EXPECT_GE(sent, 5u);  // of ten: four widths an endpoint are kept
}

// Guards against a limit full of requests that nobody will answer (a zone is cut off, answers get
// lost) until their far deadlines, while the endpoints are idle (the second variant's split+mass:
// 0.25 served of 0.96).
TEST(ConcurrencyLimit, IsReleasedBySilentRequests) {
  Settings settings = basic_settings();
  for (ClassSettings& c : settings.classes) {
    c.deadline = std::chrono::seconds(40);
    c.latency_objective = std::chrono::seconds(4);
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
  const auto send_and_end = [&](int n, Result result) {
    for (int i = 0; i < n; ++i) {
      if (!send()) {
        continue;
      }
      driver.advance(milliseconds(100));
      driver.outcome(id, 0, result, true);
    }
  };
  send_and_end(50, Result::kOk);
  send_and_end(1, Result::kTimeout);  // the limit binds from here on
  int out = 0;
  while (send()) {
    ++out;
  }
  ASSERT_LT(out, 200);
  // None of them is answered; what is queued waits for 2 s at most.
  driver.advance(milliseconds(1500));
  const std::size_t before = driver.attempts.size();
  for (int i = 0; i < out; ++i) {
    send();
  }
  EXPECT_GE(driver.attempts.size(), before + static_cast<std::size_t>(out) / 2);
  for (RequestId late = 52; late < 52 + static_cast<RequestId>(out); ++late) {
    driver.outcome(late, 0, Result::kOk);
  }
  EXPECT_FALSE(driver.attempts.empty());  // late answers count once: the limit still binds
  int more = 0;
  while (send()) {
    ASSERT_LT(++more, 1000);
  }
}

}  // namespace
}  // namespace beechhill::test
