// Several processes that are stopped together and continued: what each of them sends before and
// after it has resynchronized with discovery, as the backends and discovery see it.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/proxy_fixture.h"

namespace beechhill::test {
namespace {

constexpr std::size_t kProcesses = 3;
constexpr std::size_t kClientsPerProcess = 4;
// Beyond the drain grace of 2 s, and less than a watch may be silent for (2.5 s).
constexpr std::chrono::microseconds kPauseBeyondTheDrainGrace = 2'200ms;
constexpr std::chrono::microseconds kPauseBeyondTheWatchSilence = 3'200ms;

// Processes in front of the same two backends, each with a discovery of its own and with clients
// that keep their connections.
class PausedProcesses : public testing::Test {
 protected:
  PausedProcesses() {
    const std::string hosts =
        "[" + host_json("s-1", first_.address()) + "," + host_json("s-2", second_.address()) + "]";
    for (std::size_t i = 0; i < kProcesses; ++i) {
      proxies_.push_back(std::make_unique<ProxyUnderTest>(hosts));
      for (std::size_t c = 0; c < kClientsPerProcess; ++c) {
        clients_.push_back(proxies_.back()->client());
      }
    }
    // A client that has sent a request counts as active.
    for (TestConnection& client : clients_) {
      client.send("GET /health/ready HTTP/1.1\r\nHost: t\r\n\r\n");
      expect_status(client, 200);
    }
  }

  void signal_all(int number) const {
    for (const auto& proxy : proxies_) {
      proxy->signal(number);
    }
  }

  void send_requests(const std::string& id_prefix) {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      clients_[i].send(ProxyUnderTest::get(id_prefix + std::to_string(i)));
    }
  }

  // Answers that many requests, each on a new connection.
  static void serve(const FakeListener& backend, std::size_t requests) {
    for (std::size_t i = 0; i < requests; ++i) {
      TestConnection connection = backend.accept();
      connection.request();
      connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
  }

  void expect_all_answered() {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      EXPECT_EQ(clients_[i].answer().status, 200) << "client " << i;
    }
  }

  static bool telemetry_has(const ProxyUnderTest& proxy, const std::string& field) {
    return proxy.call("GET", "/api/telemetry").body.find(field) != std::string::npos;
  }

  FakeListener first_;
  FakeListener second_;
  std::vector<std::unique_ptr<ProxyUnderTest>> proxies_;
  std::vector<TestConnection> clients_;
};

// Requests and the update that drains a backend both wait when the processes continue, the requests
// first. None may go to the draining backend: the update was sent more than its grace ago.
TEST_F(PausedProcesses, ReadUpdatesBeforeTheySendRequests) {
  signal_all(SIGSTOP);
  send_requests("a");
  const std::string draining = host_json("s-1", first_.address(), "terminating");
  for (const auto& proxy : proxies_) {
    proxy->list("[" + draining + "]", false);
  }
  ::usleep(kPauseBeyondTheDrainGrace.count());
  signal_all(SIGCONT);
  serve(second_, clients_.size());
  expect_all_answered();
  EXPECT_FALSE(first_.pending(0ms));
}

// Each process asks for the complete list once.
TEST_F(PausedProcesses, AskForTheCompleteListAfterALongPause) {
  signal_all(SIGSTOP);
  ::usleep(kPauseBeyondTheWatchSilence.count());
  signal_all(SIGCONT);
  for (const auto& proxy : proxies_) {
    EXPECT_TRUE(proxy->watch_again().ends_with("from=0"));
    proxy->list("[" + host_json("s-1", first_.address(), "terminating") + "," +
                host_json("s-2", second_.address()) + "," + host_json("s-3", second_.address()) +
                "]");
    const auto deadline = Clock::now() + kTestTimeout;
    while (!telemetry_has(*proxy, "\"members\":3")) {
      ASSERT_LT(Clock::now(), deadline);
    }
    EXPECT_TRUE(telemetry_has(*proxy, "\"stage\":\"full\""));
  }
  send_requests("b");
  serve(second_, clients_.size());
  expect_all_answered();
  EXPECT_FALSE(first_.pending(0ms));
}

// They use the list that they hold once the resync deadline has passed.
TEST_F(PausedProcesses, GoOnWithoutDiscovery) {
  signal_all(SIGSTOP);
  send_requests("a");
  ::usleep(kPauseBeyondTheWatchSilence.count());
  signal_all(SIGCONT);
  std::size_t served = 0;
  const auto deadline = Clock::now() + kTestTimeout;
  while (served < clients_.size()) {
    ASSERT_LT(Clock::now(), deadline);
    for (const FakeListener* backend : {&first_, &second_}) {
      if (backend->pending(5ms)) {
        serve(*backend, 1);
        ++served;
      }
    }
  }
  for (const auto& proxy : proxies_) {
    EXPECT_TRUE(telemetry_has(*proxy, "\"stage\":\"hearing\""));
  }
  expect_all_answered();
}

}  // namespace
}  // namespace beechhill::test
