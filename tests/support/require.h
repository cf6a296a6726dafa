// Checks and waits with a time limit for test helpers. They replace GoogleTest's ASSERT macros,
// which cannot be used in functions that return a value.
#pragma once

#include <chrono>
#include <source_location>
#include <stdexcept>
#include <string>
#include <thread>

namespace beechhill::test {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

/// Time limit of every wait in test helpers. In a passing test, every wait ends long before it.
inline constexpr std::chrono::milliseconds kTestTimeout = 20s;

/// Throws std::runtime_error with the caller's file, line and function if `condition` is false.
/// GoogleTest reports the exception as a failure of the test, after the destructors of the test's
/// processes, sockets and directories have run.
inline void require(bool condition, std::source_location where = std::source_location::current()) {
  if (!condition) {
    throw std::runtime_error(std::string(where.file_name()) + ":" + std::to_string(where.line()) +
                             ": requirement of " + where.function_name() + " not met");
  }
}

/// Calls `holds()` every 5 ms until it returns true. Returns false if it does not within
/// kTestTimeout.
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
