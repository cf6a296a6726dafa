// Tests of the drain and the shutdown of a listener, each alone and both together.
#include "proxy/listener_lifecycle.h"

#include <gtest/gtest.h>

namespace beechhill::proxy {
namespace {

using namespace std::chrono_literals;

constexpr Time kStart = 100s;
constexpr Duration kMaxDeadline = 3s;

TEST(ListenerLifecycle, ServesWithoutLimitByDefault) {
  const ListenerLifecycle lifecycle(kMaxDeadline);
  EXPECT_TRUE(lifecycle.is_ready());
  EXPECT_TRUE(lifecycle.accepts_connections(kStart));
  EXPECT_FALSE(lifecycle.closes_after_response(kStart, kStart + 1h));
  EXPECT_FALSE(lifecycle.closes_idle_connections(kStart + 1h));
}

TEST(ListenerLifecycle, DrainsInStagesFromItsFirstCommand) {
  ListenerLifecycle lifecycle(kMaxDeadline);
  lifecycle.drain(kStart);
  lifecycle.drain(kStart + 5s);  // A repeated command does not restart the drain.
  EXPECT_FALSE(lifecycle.is_ready());
  EXPECT_TRUE(lifecycle.accepts_connections(kStart + 1h));
  EXPECT_FALSE(lifecycle.closes_after_response(kStart, kStart));
  EXPECT_TRUE(lifecycle.closes_after_response(kStart, kStart + 400ms));
  EXPECT_FALSE(lifecycle.closes_idle_connections(kStart + 1s));
  EXPECT_TRUE(lifecycle.closes_idle_connections(kStart + 2s));
  EXPECT_EQ(lifecycle.response_deadline(), Time::max());
}

TEST(ListenerLifecycle, ServesAsBeforeOnceResumed) {
  ListenerLifecycle lifecycle(kMaxDeadline);
  lifecycle.drain(kStart);
  lifecycle.resume();
  EXPECT_TRUE(lifecycle.is_ready());
  EXPECT_FALSE(lifecycle.closes_after_response(kStart, kStart + 4s));
  EXPECT_FALSE(lifecycle.closes_idle_connections(kStart + 4s));
}

TEST(ListenerLifecycle, AcceptsBrieflyDuringShutdownWithoutSuccessor) {
  ListenerLifecycle lifecycle(kMaxDeadline);
  lifecycle.begin_shutdown(kStart, false);
  lifecycle.drain(kStart + 100ms);  // The drain does not prolong the shutdown.
  EXPECT_FALSE(lifecycle.is_ready());
  EXPECT_TRUE(lifecycle.accepts_connections(kStart + 500ms));
  EXPECT_FALSE(lifecycle.accepts_connections(kStart + 1100ms));
  EXPECT_TRUE(lifecycle.closes_idle_connections(kStart + 2s));
  EXPECT_GT(lifecycle.response_deadline(), kStart + 3s);
  EXPECT_LT(lifecycle.response_deadline(), kStart + 3700ms);
}

TEST(ListenerLifecycle, StopsAcceptingAtOnceWithSuccessor) {
  ListenerLifecycle lifecycle(kMaxDeadline);
  lifecycle.begin_shutdown(kStart, true);
  EXPECT_TRUE(lifecycle.is_ready());
  EXPECT_FALSE(lifecycle.accepts_connections(kStart));
  EXPECT_TRUE(lifecycle.closes_after_response(kStart - 1s, kStart));
  EXPECT_FALSE(lifecycle.closes_idle_connections(kStart + 1s));
}

}  // namespace
}  // namespace beechhill::proxy
