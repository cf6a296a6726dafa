// What a process has learned of its backends, kept for the next process of its name: the stored
// format, and how much of an old snapshot still counts. Free of I/O and clocks.
// docs/design/recovery.md says what is kept and why no more.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::snapshot {

/// What one backend's load reports and responses have shown.
struct EndpointRecord {
  std::string host;
  /// Unix time of the backend's start, as the endpoint list gave it; 0 where it did not.
  std::chrono::milliseconds started_at{0};
  /// Unix time at which `stats` were taken.
  std::chrono::milliseconds recorded_at{0};
  EndpointStats stats;
};

struct Snapshot {
  /// Of the process that wrote it.
  std::string name;
  /// Equal for processes whose settings agree in what the records depend on. Records that were
  /// learned under other settings are void.
  std::string settings_fingerprint;
  /// Counts the processes of this name, from 1.
  std::uint64_t incarnation = 0;
  /// Unix time.
  std::chrono::milliseconds written_at{0};
  std::vector<EndpointRecord> records;
  /// Ids of the backends that operators have excluded. An exclusion does not expire.
  std::set<std::string> excluded_backends;
};

/// Records beyond this number are not written; a snapshot with more of them is damaged.
inline constexpr std::size_t kMaxRecords = 10'000;
/// A longer text is no snapshot.
inline constexpr std::size_t kMaxSnapshotBytes = std::size_t{4} * 1024 * 1024;

/// Returns the snapshot as checksummed JSON (config/checksummed_json.h). Statistics keep six
/// significant digits.
std::string encode(const Snapshot& snapshot);

/// Returns the complete snapshot, or nothing where `text` is torn, damaged, too long or of another
/// kind or version.
std::optional<Snapshot> decode(std::string_view text);

/// Why the records of a stored snapshot may not be used.
enum class RejectionReason {
  /// decode() gave nothing.
  kDamaged,
  kOtherProcess,
  kOtherSettings,
  /// Written later than the clock says that it is now.
  kFromTheFuture,
  kTooOld,
};

/// Returns the reason as it stands in the log.
const char* name(RejectionReason reason);

/// Returns why the process `process_name` with the settings `settings_fingerprint` may not use the
/// records at the Unix time `now`, or nothing where it may.
std::optional<RejectionReason> rejection_reason(const Snapshot& snapshot,
                                                std::string_view process_name,
                                                std::string_view settings_fingerprint,
                                                std::chrono::milliseconds now);

/// Returns statistics of the age `age`, reduced by exponential decay (a factor of e a minute).
/// Returns nothing where the backend has restarted since, where less than a hundredth of a report
/// or response is left, or where the values are beyond what the balancer itself ever holds. A
/// negative age counts as zero.
std::optional<EndpointStats> discounted(const EndpointStats& stats, Duration age, bool restarted);

}  // namespace beechhill::snapshot
