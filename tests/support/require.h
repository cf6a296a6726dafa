// Preconditions and bounded waits of test helpers, which may return values and so cannot use
// GoogleTest's ASSERT macros.
#pragma once

#include <chrono>
#include <source_location>
#include <stdexcept>
#include <string>
#include <thread>

namespace beechhill::test {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

/// The longest that a helper waits for anything; far beyond what any of it takes.
inline constexpr std::chrono::milliseconds kTestTimeout = 20s;

/// Throws std::runtime_error naming the place where `condition` does not hold. GoogleTest reports
/// it as a failure of the test, after the test's locals (processes, sockets, directories) are
/// destroyed.
inline void require(bool condition, std::source_location where = std::source_location::current()) {
  if (!condition) {
    throw std::runtime_error(std::string(where.file_name()) + ":" + std::to_string(where.line()) +
                             ": requirement of " + where.function_name() + " not met");
  }
}

/// Polls until `holds()`; false where it does not within kTestTimeout.
template <typename Condition>
bool eventually(const Condition& holds) {
  const auto deadline = Clock::now() + kTestTimeout;
  while (!holds()) {
    if (Clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(5ms);
  }
  return true;
}

}  // namespace beechhill::test
