// Tests of the choice among idle connections to a backend.
#include "proxy/idle_connections.h"

#include <fcntl.h>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "support/fake_listener.h"
#include "support/require.h"

namespace beechhill::test {
namespace {

using proxy::BackendConnection;
using runtime::TimePoint;

class IdleConnectionsTest : public testing::Test {
 protected:
  IdleConnectionsTest() { settings.backend_idle_timeout = 1h; }

  // Adds a connection whose last response ended at `last_response_at`. Returns its address in
  // memory, to recognize it.
  const BackendConnection* add(std::optional<TimePoint> last_response_at) {
    auto connection = std::make_unique<BackendConnection>(descriptors, address);
    net::FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    require(::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    require(::fcntl(fd.get(), F_SETFL, O_NONBLOCK) == 0);
    connection->stream = std::make_unique<net::Stream>(scheduler, std::move(fd));
    connection->last_response_at = last_response_at;
    const BackendConnection* added = connection.get();
    idle.put(std::move(connection));
    accepted.push_back(backend.accept());
    return added;
  }

  const FakeListener backend;
  const sockaddr_in address = *net::parse_address(backend.address());
  Settings settings;
  runtime::Scheduler scheduler;
  runtime::Notifier changed;
  proxy::DescriptorBudget descriptors{8};
  std::vector<TestConnection> accepted;
  proxy::SettlingTime settling_time;
  proxy::IdleConnections idle{changed, settings, settling_time};
  const TimePoint now = Clock::now();
};

TEST_F(IdleConnectionsTest, PrefersSettledConnection) {
  const BackendConnection* settled = add(now - 1min);
  add(now + 1min);
  const auto taken = idle.take(TimePoint::max());
  EXPECT_EQ(taken.get(), settled);
  EXPECT_LE(idle.settled_at(*taken), Clock::now());
}

TEST_F(IdleConnectionsTest, TakesTheFirstToSettleIfNoneIs) {
  const BackendConnection* first = add(now + 1min);
  add(now + 2min);
  const auto taken = idle.take(TimePoint::max());
  EXPECT_EQ(taken.get(), first);
  EXPECT_GT(idle.settled_at(*taken), now + 1min);
}

// Waiting for a connection must not use up the time of a request that has little left.
TEST_F(IdleConnectionsTest, KeepsConnectionThatSettlesTooLate) {
  add(now + 1min);
  EXPECT_EQ(idle.take(now + 1min), nullptr);
  EXPECT_FALSE(idle.empty());
}

TEST_F(IdleConnectionsTest, UnusedConnectionIsSettled) {
  add(std::nullopt);
  const auto taken = idle.take(now);
  ASSERT_NE(taken, nullptr);
  EXPECT_LE(idle.settled_at(*taken), now);
}

// On a busy machine a second response can be later than usual. Once backends have sent such bytes,
// connections rest longer, for a limited time.
TEST_F(IdleConnectionsTest, RestsLongerAfterUnsolicitedBytes) {
  add(now - 1min);
  accepted.back().send("HTTP/1.1 200 OK\r\n");
  add(now);
  EXPECT_EQ(idle.take(now + proxy::SettlingTime::kAfterUnsolicitedBytes - 1ms), nullptr);
  EXPECT_EQ(settling_time.at(Clock::now()), proxy::SettlingTime::kAfterUnsolicitedBytes);
  EXPECT_EQ(settling_time.at(Clock::now() + proxy::SettlingTime::kSuspicionTime),
            proxy::SettlingTime::kUsual);
  EXPECT_NE(idle.take(now + proxy::SettlingTime::kAfterUnsolicitedBytes), nullptr);
}

TEST_F(IdleConnectionsTest, DropsConnectionsThatTheBackendWroteToOrClosed) {
  add(now - 1min);
  accepted.back().send("HTTP/1.1 200 OK\r\n");
  add(now - 1min);
  accepted.pop_back();
  EXPECT_EQ(idle.take(now), nullptr);
  EXPECT_TRUE(idle.empty());
  EXPECT_EQ(descriptors.used(), 0U);
}

}  // namespace
}  // namespace beechhill::test
