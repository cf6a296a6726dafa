// Preconditions of test helpers, which may return values and so cannot use GoogleTest's ASSERT
// macros.
#pragma once

#include <chrono>
#include <source_location>
#include <stdexcept>
#include <string>

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

}  // namespace beechhill::test
