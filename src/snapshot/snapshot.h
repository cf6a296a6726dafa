// A snapshot of what a process has learned about its backends, for the next process of the same
// name: the stored format, and the rules for using an old snapshot. Performs no I/O and reads no
// clock. docs/design/recovery.md explains which data is stored.
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

/// The statistics of one backend, from its load reports and responses.
struct EndpointRecord {
  std::string host;
  /// Unix time at which the backend started, according to the endpoint list; 0 if unknown.
  std::chrono::milliseconds started_at{0};
  /// Unix time at which `stats` were recorded.
  std::chrono::milliseconds recorded_at{0};
  EndpointStats stats;
};

/// What one process has learned about its backends.
struct Snapshot {
  /// Name of the process that wrote the snapshot.
  std::string name;
  /// Fingerprint of all settings that the records depend on. Records from a process with a
  /// different fingerprint are not used.
  std::string settings_fingerprint;
  /// Sequence number of the process among the processes of this name, starting at 1.
  std::uint64_t incarnation = 0;
  /// Unix time at which the snapshot was taken.
  std::chrono::milliseconds written_at{0};
  std::vector<EndpointRecord> records;
  /// Ids of the backends that operators have excluded. Exclusions do not expire.
  std::set<std::string> excluded_backends;
};

/// Maximum number of records. Further records are not written; a snapshot with more is rejected as
/// damaged.
inline constexpr std::size_t kMaxRecords = 10'000;
/// Maximum size of an encoded snapshot in bytes; a longer text is rejected as damaged.
inline constexpr std::size_t kMaxSnapshotBytes = std::size_t{4} * 1024 * 1024;

/// Returns the snapshot as checksummed JSON (config/checksummed_json.h). Statistics are rounded to
/// six significant digits.
std::string encode(const Snapshot& snapshot);

/// Returns the complete snapshot, or nothing if `text` is incomplete, damaged, too long or of
/// another format or version.
std::optional<Snapshot> decode(std::string_view text);

/// The reason why the records of a stored snapshot are not used.
enum class RejectionReason {
  /// decode() returned nothing.
  kDamaged,
  kOtherProcess,
  kOtherSettings,
  /// The snapshot's time of writing is in the future by this machine's clock.
  kFromTheFuture,
  kTooOld,
};

/// Returns the text of `reason` in the log.
const char* name(RejectionReason reason);

/// Returns why the process `process_name` with the settings `settings_fingerprint` must not use the
/// records at the Unix time `now`, or nothing if the records are usable.
std::optional<RejectionReason> rejection_reason(const Snapshot& snapshot,
                                                std::string_view process_name,
                                                std::string_view settings_fingerprint,
                                                std::chrono::milliseconds now);

/// Returns `stats` reduced by exponential decay with a time constant of one minute, where `age` is
/// the time since they were recorded; a negative age counts as zero. Returns nothing if the backend
/// has restarted since, if less than a hundredth of a report or response remains, or if the values
/// exceed what the balancer itself can hold.
std::optional<EndpointStats> discounted(const EndpointStats& stats, Duration age, bool restarted);

}  // namespace beechhill::snapshot
