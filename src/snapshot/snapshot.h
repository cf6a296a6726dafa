// What a process has learned of its backends, kept over a restart: its format, and what may still
// be believed of it. Free of I/O and clocks. docs/design/recovery.md says what is kept and why no
// more.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::snapshot {

struct EndpointRecord {
  std::string host;
  std::chrono::milliseconds started_at{
      0};  // Unix time of its start as the list told it; 0: not told
  std::chrono::milliseconds recorded_at{0};  // Unix time
  EndpointStats stats;
};

struct Snapshot {
  std::string name;           // the process's
  std::string settings_hash;  // the settings it ran under, by their hash: what was learned under
                              // others says nothing
  std::uint64_t incarnation = 0;
  std::chrono::milliseconds written_at{0};  // Unix time
  std::vector<EndpointRecord> records;
  std::set<std::string>
      excluded_backends;  // ids that operators had left out: no age makes these void
};

inline constexpr std::size_t kMaxRecords = 10'000, kMaxSnapshotBytes = 4 * 1024 * 1024;

// One line of JSON and one with its checksum (xxHash64).
std::string encode(const Snapshot& snapshot);
// Nothing where it is torn, no snapshot, another version's or too long; whole or not at all.
std::optional<Snapshot> decode(std::string_view text);

// Why its rows may not be used by that process now, as a reason code; null where they may.
const char* rejection_reason(const Snapshot& snapshot, std::string_view name,
                             std::string_view fleet, std::chrono::milliseconds now);

// What of it is still to be believed at that age; nothing where it says nothing any more, is
// absurd, or stands for another start of the backend (`started`).
std::optional<EndpointStats> discounted(const EndpointStats& evidence, Duration age, bool started);

}  // namespace beechhill::snapshot
