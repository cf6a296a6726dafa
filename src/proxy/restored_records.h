// What an earlier process had learned of its backends, until the endpoint list shows which of it
// still applies.
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

/// Records of a snapshot by backend id. Each is claimed at most once.
class RestoredRecords {
 public:
  /// Records since the last summary.
  struct Summary {
    std::uint64_t restored = 0;
    std::uint64_t discarded = 0;
  };

  explicit RestoredRecords(const std::vector<snapshot::EndpointRecord>& records) {
    for (const snapshot::EndpointRecord& record : records) {
      unclaimed_.try_emplace(record.host, record);
    }
  }

  /// Takes the record of a backend that the list names, with its latest start there. Nothing where
  /// there is none, or where it does not apply any more.
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

  /// Discards what no complete list has claimed. Nothing where there was no record at all.
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
