// Tests several processes that are stopped and continued together: the requests and watches that
// they send before and after they have resynchronized with discovery, as seen by the backends and
// by discovery.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/proxy_fixture.h"

namespace beechhill::test {
namespace {

constexpr std::size_t kProcesses = 3;
constexpr std::size_t kClientsPerProcess = 4;
// Length of a pause that exceeds the drain grace (2 s), but not the time after which a silent watch
// is ended (2.5 s).
constexpr std::chrono::microseconds kPauseBeyondTheDrainGrace = 2'200ms;
// Length of a pause that exceeds the time after which a silent watch is ended (2.5 s).
constexpr std::chrono::microseconds kPauseBeyondTheWatchSilence = 3'200ms;

// Several proxy processes with the same two backends. Each process has its own discovery server and
// its own clients with persistent connections.
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
    // Each client sends a first request, because a client counts as active only after it.
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

  // Answers `requests` requests, each on a new connection.
  static void serve(const FakeListener& backend, std::size_t requests) {
    for (std::size_t i = 0; i < requests; ++i) {
      TestConnection connection = backend.accept();
      connection.request();
      connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
  }

  void expect_all_answered() {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      EXPECT_EQ(clients_[i].response().status, 200) << "client " << i;
    }
  }

  static bool telemetry_has(const ProxyUnderTest& proxy, const std::string& field) {
    return proxy.admin_request("GET", "/api/telemetry").body.find(field) != std::string::npos;
  }

  FakeListener first_;
  FakeListener second_;
  std::vector<std::unique_ptr<ProxyUnderTest>> proxies_;
  std::vector<TestConnection> clients_;
};

// When the processes continue, requests and the update that drains a backend are waiting to be
// read, and the requests arrived first. No request may go to the draining backend, because its
// drain grace has expired since the update was sent.
TEST_F(PausedProcesses, ReadUpdatesBeforeTheySendRequests) {
  signal_all(SIGSTOP);
  send_requests("a");
  const std::string draining = host_json("s-1", first_.address(), "terminating");
  for (const auto& proxy : proxies_) {
    proxy->send_endpoint_list("[" + draining + "]", false);
  }
  ::usleep(kPauseBeyondTheDrainGrace.count());
  signal_all(SIGCONT);
  serve(second_, clients_.size());
  expect_all_answered();
  EXPECT_FALSE(first_.pending(0ms));
}

// Each process must request the complete endpoint list exactly once after a pause that exceeds the
// watch timeout.
TEST_F(PausedProcesses, RequestTheCompleteListAfterALongPause) {
  signal_all(SIGSTOP);
  ::usleep(kPauseBeyondTheWatchSilence.count());
  signal_all(SIGCONT);
  for (const auto& proxy : proxies_) {
    EXPECT_TRUE(proxy->accept_watch().ends_with("from=0"));
    proxy->send_endpoint_list("[" + host_json("s-1", first_.address(), "terminating") + "," +
                              host_json("s-2", second_.address()) + "," +
                              host_json("s-3", second_.address()) + "]");
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

// Without an answer from discovery, the processes must use the endpoint list that they hold once
// the resync deadline has passed.
TEST_F(PausedProcesses, ContinueWithoutDiscovery) {
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
