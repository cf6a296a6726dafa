// Helpers for tests of the proxy package that proxy_fixture.h does not provide.
#pragma once

#include <gtest/gtest.h>
#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <string>
#include <string_view>

#include "http/message.h"
#include "http/writer.h"
#include "proxy/payload.h"
#include "runtime/scheduler.h"
#include "runtime/task.h"
#include "support/proxy_fixture.h"

namespace beechhill::test {

/// A request without a body, for actors that run in the test's own process.
class TestPayload : public proxy::Payload {
 public:
  std::string encode(const std::string& host, Duration) const override {
    return http::write_request("GET", "/ver", host, "", "");
  }
  std::string_view trace_id() const override { return "a1"; }
};

/// Yields to the scheduler's other tasks `rounds` times. The default exceeds the length of the
/// longest chain of messages between actors.
inline runtime::Task<> yield_to_other_tasks(runtime::Scheduler& scheduler, int rounds = 8) {
  while (rounds-- > 0) {
    runtime::Wait wait(scheduler);
    wait.until(Clock::now());
    co_await wait;
  }
}

/// Sends `request` on `client`, accepts the proxy's connection to `backend`, responds there with
/// status 200 and `body`, and expects the client to receive this response. Returns the backend's
/// side of the connection.
inline TestConnection exchange(TestConnection& client, const FakeListener& backend,
                               const std::string& request, const std::string& body) {
  client.send(request);
  TestConnection server = backend.accept();
  server.request();
  server.reply(200, "", body);
  const http::Message response = client.response();
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, body);
  return server;
}

/// Fixture with a proxy that has one backend, and a client connection to the proxy.
class OneBackendTest : public testing::Test {
 protected:
  const FakeListener backend;
  ProxyUnderTest proxy{single_backend_list(backend)};
  TestConnection client = proxy.client();
};

/// Reads the log of a running proxy.
class LogReader {
 public:
  explicit LogReader(const ProxyUnderTest& proxy) : fd_(proxy.log_fd()) {}

  /// Returns the total length of the gaps in execution that the proxy has logged so far. It logs
  /// each gap, a time in which the process did not run, as "away ms=N".
  std::chrono::milliseconds logged_gaps() {
    while (read_available(0ms)) {}
    return sum_of_gaps();
  }

  /// Waits up to `timeout` until a gap has been logged, as a separate thread writes the log.
  /// Returns the total length of the gaps, or zero if there is none.
  std::chrono::milliseconds wait_for_gap(std::chrono::milliseconds timeout) {
    const auto deadline = Clock::now() + timeout;
    while (sum_of_gaps() == 0ms && Clock::now() < deadline) {
      read_available(10ms);
    }
    return sum_of_gaps();
  }

 private:
  bool read_available(std::chrono::milliseconds timeout) {
    pollfd polled{fd_, POLLIN, 0};
    if (::poll(&polled, 1, static_cast<int>(timeout.count())) <= 0) {
      return false;
    }
    char chunk[4096];
    const ssize_t received = ::read(fd_, chunk, sizeof chunk);
    if (received > 0) {
      text_.append(chunk, static_cast<std::size_t>(received));
    }
    return received > 0;
  }

  std::chrono::milliseconds sum_of_gaps() const {
    constexpr std::string_view kGap = "away ms=";
    std::chrono::milliseconds sum{0};
    for (auto at = text_.find(kGap); at != std::string::npos; at = text_.find(kGap, at + 1)) {
      sum += std::chrono::milliseconds(std::atoll(text_.c_str() + at + kGap.size()));
    }
    return sum;
  }

  int fd_;
  std::string text_;
};

}  // namespace beechhill::test
