// Statistics of backends saved by an earlier process, kept until the endpoint list shows which of
// them still apply.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "beechhill/balancer.h"
#include "snapshot/snapshot.h"

namespace beechhill::proxy {

/// Records of a snapshot, indexed by backend id. Each record can be claimed once.
class RestoredRecords {
 public:
  /// Numbers of records restored and discarded since the last summary.
  struct Summary {
    std::uint64_t restored = 0;
    std::uint64_t discarded = 0;
  };

  explicit RestoredRecords(const std::vector<snapshot::EndpointRecord>& records) {
    for (const snapshot::EndpointRecord& record : records) {
      unclaimed_.try_emplace(record.host, record);
    }
  }

  /// Removes the record of a listed backend and returns its statistics, discounted for their age.
  /// `started_at` is the Unix time of the backend's latest start in the endpoint list. Returns
  /// nothing if there is no record, if the backend has restarted since, or if the record is too old
  /// or invalid.
  std::optional<EndpointStats> claim(const std::string& backend_id,
                                     std::chrono::milliseconds started_at, Time unix_now) {
    const auto it = unclaimed_.find(backend_id);
    if (it == unclaimed_.end()) {
      return std::nullopt;
    }
    const snapshot::EndpointRecord record = it->second;
    unclaimed_.erase(it);
    const Duration age = unix_now - std::chrono::duration_cast<Time>(record.recorded_at);
    const bool restarted = record.started_at != started_at;
    std::optional<EndpointStats> stats = snapshot::discounted(record.stats, age, restarted);
    ++(stats ? summary_.restored : summary_.discarded);
    return stats;
  }

  /// Discards all unclaimed records. Must be called after a complete list, when no further record
  /// can be claimed. Returns the numbers of records restored and discarded since the last summary,
  /// or nothing if both are 0.
  std::optional<Summary> discard_unclaimed() {
    summary_.discarded += unclaimed_.size();
    unclaimed_.clear();
    if (summary_.restored + summary_.discarded == 0) {
      return std::nullopt;
    }
    const Summary summary = summary_;
    summary_ = {};
    return summary;
  }

  bool empty() const { return unclaimed_.empty(); }
  const std::unordered_map<std::string, snapshot::EndpointRecord>& unclaimed() const {
    return unclaimed_;
  }

 private:
  std::unordered_map<std::string, snapshot::EndpointRecord> unclaimed_;
  Summary summary_;
};

}  // namespace beechhill::proxy
