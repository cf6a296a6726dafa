// Compares the actions of the decision module with recorded ones, byte for byte.
//
// To record the actions again after an intended change of a decision:
//   ACTION_TRACE_RECORD=1 build/tests/action_trace_test
// To compare two builds over a long stream, run both with ACTION_TRACE_EVENTS set to the number of
// events per stream, and compare the hashes that they print.
#include "support/action_trace.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace beechhill::test {
namespace {

constexpr std::uint64_t kRecordedEvents = 800;  // number of events per stream
constexpr std::uint64_t kRecordedStreams = static_cast<std::uint64_t>(Deployment::kCount);
constexpr std::uint64_t kComparedStreams = 4 * kRecordedStreams;

std::string recorded_streams() {
  std::string text;
  for (std::uint64_t seed = 0; seed < kRecordedStreams; ++seed) {
    ActionTrace trace(seed, [&text](const std::string& line) { text += line + '\n'; });
    trace.run(kRecordedEvents);
  }
  return text;
}

// Extends a 64-bit FNV-1a hash by a line.
std::uint64_t extend_hash(std::uint64_t hash, const std::string& line) {
  for (const char c : line) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  }
  return hash * 0x100000001b3ULL;
}

TEST(ActionTrace, EqualsTheRecordedActions) {
  const std::string actual = recorded_streams();
  if (std::getenv("ACTION_TRACE_RECORD") != nullptr) {
    std::ofstream(ACTION_TRACE_FILE) << actual;
  }
  std::stringstream recorded;
  recorded << std::ifstream(ACTION_TRACE_FILE).rdbuf();
  std::istringstream lines(actual);
  std::string expected_line;
  std::string actual_line;
  for (std::size_t number = 1; std::getline(recorded, expected_line); ++number) {
    ASSERT_TRUE(std::getline(lines, actual_line)) << "the trace ends before line " << number;
    ASSERT_EQ(actual_line, expected_line) << "line " << number;
  }
  EXPECT_FALSE(std::getline(lines, actual_line)) << "beyond the recorded trace: " << actual_line;
}

TEST(ActionTrace, IsEqualForEqualSeeds) {
  const char* const event_count_text = std::getenv("ACTION_TRACE_EVENTS");
  const std::uint64_t event_count =
      event_count_text != nullptr ? std::strtoull(event_count_text, nullptr, 10) : 500;
  for (std::uint64_t seed = 0; seed < kComparedStreams; ++seed) {
    std::uint64_t hashes[2] = {};
    std::uint64_t lines = 0;
    std::uint64_t handled = 0;
    const int runs = event_count_text != nullptr ? 1 : 2;
    for (int run = 0; run < runs; ++run) {
      ActionTrace trace(seed, [&](const std::string& line) {
        hashes[run] = extend_hash(hashes[run], line);
        ++lines;
      });
      handled = trace.run(event_count);
    }
    if (event_count_text != nullptr) {
      std::cout << "stream " << seed << ": " << handled << " events, " << lines << " lines, hash "
                << std::hex << hashes[0] << std::dec << '\n';
    } else {
      EXPECT_EQ(hashes[0], hashes[1]) << "stream " << seed;
    }
  }
}

}  // namespace
}  // namespace beechhill::test
