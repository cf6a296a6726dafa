// Shared by the tests of the proxy package, beside proxy_fixture.h.
#pragma once

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <string>
#include <string_view>

#include "support/proxy_fixture.h"

namespace beechhill::test {

/// Reads a proxy's log as it is written.
class LogReader {
 public:
  explicit LogReader(const Proxy& proxy) : fd_(proxy.log_fd()) {}

  /// The sum over the gaps logged so far in which the process did not run ("away ms=N").
  std::chrono::milliseconds logged_gaps() {
    while (read_available(0ms)) {}
    return sum_of_gaps();
  }

  /// Waits for a gap to be logged: the log's writer is a thread of its own. Zero where there is
  /// none within `timeout`.
  std::chrono::milliseconds wait_for_gap(std::chrono::milliseconds timeout) {
    const auto deadline = Clock::now() + timeout;
    while (sum_of_gaps() == 0ms && Clock::now() < deadline) {
      read_available(10ms);
    }
    return sum_of_gaps();
  }

 private:
  bool read_available(std::chrono::milliseconds timeout) {
    pollfd p{fd_, POLLIN, 0};
    if (::poll(&p, 1, static_cast<int>(timeout.count())) <= 0) {
      return false;
    }
    char chunk[4096];
    const ssize_t n = ::read(fd_, chunk, sizeof chunk);
    if (n > 0) {
      text_.append(chunk, static_cast<std::size_t>(n));
    }
    return n > 0;
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
