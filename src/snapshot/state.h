// What a process has learned of its backends, kept over a restart: its format, and what may still be believed of it. Free
// of I/O and clocks. docs/design/recovery.md says what is kept and why no more.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::snapshot {

// What one backend's reports said lately, smoothed.
struct Note {
  double utilisation = 0, rate_per_s = 0;
  std::optional<Time> at;  // of the latest; nothing: none came
  void add(Time now, const LoadReport& report);
};

struct Row {
  std::string host;
  std::chrono::milliseconds born{0};  // Unix time of its start as the list told it; 0: not told
  std::chrono::milliseconds at{0};    // Unix time
  double utilisation = 0, rate_per_s = 0;
};

struct Snapshot {
  std::string name;   // the process's
  std::string fleet;  // the settings it ran under, by their hash: what was learned under others says nothing
  std::uint64_t life = 0;
  std::chrono::milliseconds written{0};  // Unix time
  std::vector<Row> rows;
};

inline constexpr std::size_t kMostRows = 10'000, kMostBytes = 4 * 1024 * 1024;

// One line of JSON and one with its checksum (xxHash64).
std::string encode(const Snapshot& snapshot);
// Nothing where it is torn, no snapshot, another version's or too long; whole or not at all.
std::optional<Snapshot> decode(std::string_view text);

// Why it may not be used by that process now, as a reason code; null where it may.
const char* refusal(const Snapshot& snapshot, std::string_view name, std::string_view fleet, std::chrono::milliseconds now);

// A row as the reports that it stands for: fewer the older it is, none where it says nothing any more. `started`: whether the backend
// is another start than the row's.
std::uint32_t reports_for(Duration age, bool started);

}  // namespace beechhill::snapshot
