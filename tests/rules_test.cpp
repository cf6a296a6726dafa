// The four rules: no request lost, no effect twice, drains kept, no cold server pushed over.
#include "support/balancer_driver.h"

namespace beechhill::test {
namespace {

constexpr Result kMaybeRan[] = {Result::kError, Result::kTimeout, Result::kReset,
                                Result::kCancelled};
constexpr Result kNeverRan[] = {Result::kOverloaded, Result::kConnectFailed, Result::kSkipped};

TEST(Effects, OnceIsFailedNeverRepeatedOrRefusedAfterItMayHaveRun) {
  for (const Result r : kMaybeRan) {
    Driver d;
    d.servers(4);
    d.request(1, kOnce);
    const auto out = d.outcome(1, 0, r);
    EXPECT_EQ(count<StartAttempt>(out), 0u);
    EXPECT_EQ(count<Reject>(out), 0u);
    EXPECT_EQ(count<Fail>(out), 1u);
  }
}

TEST(Effects, OnceIsTriedElsewhereWhenItNeverRan) {
  for (const Result r : kNeverRan) {
    Driver d;
    d.servers(4);
    d.request(1, kOnce);
    d.outcome(1, 0, r);
    d.pass(milliseconds(300));
    ASSERT_EQ(d.sends.size(), 2u);
    EXPECT_NE(d.sends[0].endpoint, d.sends[1].endpoint);
  }
}

TEST(Effects, KeyedStaysInItsCell) {
  Driver d;
  d.servers(6);  // cells of two
  d.request(1, kKeyed);
  d.pass(milliseconds(100));
  d.outcome(1, 0, Result::kError);
  ASSERT_EQ(d.sends.size(), 2u);
  EXPECT_EQ(d.sends[0].endpoint / 2, d.sends[1].endpoint / 2);
}

TEST(Effects, KeyedIsNotSentAgainOnceItsRepeatsAreForgotten) {
  Driver d;
  d.servers(6);
  d.request(1, kKeyed);
  d.pass(milliseconds(3000));
  const auto out = d.outcome(1, 0, Result::kError);
  EXPECT_EQ(count<StartAttempt>(out), 0u);
  EXPECT_EQ(count<Fail>(out), 1u);
}

// A repeat may leave a connect time-out after it is sent: the group must remember the first attempt
// then, too.
TEST(Effects, KeyedIsNotSentAgainWhereItsConnectionCouldStandTooLate) {
  Driver d;
  d.servers(6);
  d.request(1, kKeyed);
  d.pass(milliseconds(2950));
  EXPECT_EQ(count<Fail>(d.outcome(1, 0, Result::kError)), 1u);
}

// The group is that of the machine that got the first attempt, wherever the list says by now that
// its number stands.
TEST(Effects, KeyedStaysWhereItsFirstAttemptWentWhenTheListMoves) {
  Driver d;
  d.servers(6);  // cells of two
  d.request(1, kKeyed);
  const EndpointId first = d.sends[0].endpoint, other = (first + 2) % 6;
  d.give(EndpointUpdate{
      UpdateKind::kDelta,
      {{first, EndpointStatus::kUp, 0, 77, {}}, {other, EndpointStatus::kUp, 0, 77, {}}}});
  d.outcome(1, 0, Result::kError);
  ASSERT_EQ(d.sends.size(), 2u);
  EXPECT_EQ(d.sends[1].endpoint, first ^ 1);
}

TEST(Effects, KeyedIsRefusedOnlyWhereAllServersDropRepeats) {
  for (const DeduplicationScope scope :
       {DeduplicationScope::kAll, DeduplicationScope::kZone, DeduplicationScope::kCell}) {
    Settings s = basic_settings();
    s.max_attempts = 1;
    s.classes[kKeyed].deduplication_scope = scope;
    Driver d(s);
    d.servers(4);
    d.request(1, kKeyed);
    const auto out = d.outcome(1, 0, Result::kError);
    EXPECT_EQ(count<Reject>(out), scope == DeduplicationScope::kAll ? 1u : 0u);
    EXPECT_EQ(count<Fail>(out), scope == DeduplicationScope::kAll ? 0u : 1u);
  }
}

TEST(Drains, NothingNewGoesToADrainingOrRemovedServer) {
  for (const EndpointStatus state : {EndpointStatus::kDraining, EndpointStatus::kRemoved}) {
    Driver d;
    d.servers(2);
    d.change({0, state, 0, 0, {}});
    for (RequestId id = 0; id < 20; ++id) {
      d.request(id);
    }
    for (const auto& s : d.sends) {
      EXPECT_EQ(s.endpoint, 1u);
    }
  }
}

TEST(Drains, AbsentFromAWholeListIsGone) {
  Driver d;
  d.servers(3);
  d.give(EndpointUpdate{UpdateKind::kSnapshot, {{2, EndpointStatus::kUp, 0, 1, {}}}});
  for (RequestId id = 0; id < 20; ++id) {
    d.request(id);
  }
  for (const auto& s : d.sends) {
    EXPECT_EQ(s.endpoint, 2u);
  }
}

TEST(Cold, AFreshServerGetsItsWarmthsShareOfAWarmOnesIntake) {
  Driver d;
  d.servers(4);
  RequestId id = 0;
  const auto second = [&] {
    for (int i = 0; i < 40; ++i) {
      d.request(id);
      d.pass(milliseconds(25));
      d.outcome(id++, 0, Result::kOk);
    }
  };
  for (int i = 0; i < 10; ++i) {
    second();
  }
  d.change({0, EndpointStatus::kUp, 0, 0, d.now});
  const std::size_t before = d.sends.size();
  second();
  std::size_t to_cold = 0;
  for (std::size_t i = before; i < d.sends.size(); ++i) {
    to_cold += d.sends[i].endpoint == 0;
  }
  EXPECT_LE(to_cold, 4u);  // a warm one takes 13; the server starts at a fifth of that
  for (int i = 0; i < 12; ++i) {
    second();
  }
  const std::size_t later = d.sends.size();
  second();
  to_cold = 0;
  for (std::size_t i = later; i < d.sends.size(); ++i) {
    to_cold += d.sends[i].endpoint == 0;
  }
  EXPECT_GE(to_cold, 8u);
}

TEST(Answers, ADeadlinePastOnArrivalIsRefusedAtOnce) {
  Driver d;
  d.servers(2);
  const auto out = d.give(Request{1, kOnce, kNoTenant, d.now, {}});
  EXPECT_EQ(count<StartAttempt>(out), 0u);
  EXPECT_EQ(count<Reject>(out), 1u);
}

// Incident i93a7ab: a call with little time left was held past its deadline, then sent.
TEST(Answers, AHeldCallWithLittleTimeLeftIsAnsweredByItsDeadline) {
  Driver d;
  d.give(Request{1, kOnce, kNoTenant, d.now + milliseconds(21), {}});
  d.pass(milliseconds(21));
  EXPECT_EQ(d.answers.count(1), 1u);
  d.servers(2);
  EXPECT_TRUE(d.sends.empty());
}

TEST(Answers, AServerThatComesTooLateGetsNothingOverdue) {
  Driver d;
  d.give(Request{1, kOnce, kNoTenant, d.now + milliseconds(21), {}});
  d.now += milliseconds(30);  // no timer in between
  d.servers(2);
  EXPECT_TRUE(d.sends.empty());
  EXPECT_EQ(d.answers.count(1), 1u);
}

TEST(Answers, ATimeOutAtTheDeadlineIsAnsweredAtOnce) {
  Driver d;
  d.servers(2);
  d.request(1, kOnce);
  d.pass(milliseconds(4000));
  EXPECT_EQ(count<Fail>(d.outcome(1, 0, Result::kTimeout)), 1u);
}

TEST(Answers, NothingMoreForAClientThatLeft) {
  Driver d;
  d.request(1);
  d.give(ClientDisconnected{1});
  d.servers(2);
  d.pass(milliseconds(5000));
  EXPECT_TRUE(d.sends.empty());
  EXPECT_TRUE(d.answers.empty());
}

}  // namespace
}  // namespace beechhill::test
