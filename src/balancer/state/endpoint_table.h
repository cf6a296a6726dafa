// A table of all endpoints that any event has named, with a ranking of those that are up.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "balancer/state/endpoint_state.h"
#include "balancer/state/random_source.h"
#include "balancer/state/ranked_set.h"
#include "beechhill/events.h"

namespace beechhill {

/// Owns the records and never removes one. Ids are dense, so 10,000 records take a few MB. A
/// reference to a record is valid until an event names a new id.
class EndpointTable {
 public:
  /// `random` must outlive the table.
  EndpointTable(std::size_t class_count, RandomSource& random)
      : class_count_(class_count), random_(random) {}

  /// Applies an endpoint update: O(changes log n) for a delta, O(n log n) for a full list.
  void apply(const EndpointUpdate& update, Time now);
  /// Applies an operator's exclusion or readmission.
  void apply(const EndpointExclusion& exclusion, Time now);
  /// Adds statistics of an earlier process, which the caller must have bounded.
  void restore(const RestoredStats& restored, Time now);

  std::size_t size() const { return records_.size(); }
  std::size_t up_count() const { return ranked_.size(); }
  /// Returns up_count(), or 1 if no endpoint is up; for use as a divisor.
  std::size_t positive_up_count() const { return std::max<std::size_t>(1, ranked_.size()); }
  /// Returns whether the fleet is small enough for each selection to examine every endpoint.
  bool is_small() const { return ranked_.size() <= kSmallFleet; }
  /// Returns whether no endpoint is up and operators exclude some, so that queueing is pointless.
  bool all_excluded() const;

  bool contains(EndpointId id) const { return id < records_.size(); }
  EndpointRecord& operator[](EndpointId id) { return records_[id]; }
  const EndpointRecord& operator[](EndpointId id) const { return records_[id]; }
  const std::vector<EndpointRecord>& records() const { return records_; }

  /// Visits the `count` endpoints of lowest rank that are up, by ascending rank. `count` must be at
  /// most up_count().
  template <typename Visitor>
  void visit_first(std::size_t count, const Visitor& visit) {
    for (std::size_t i = 0; i < count; ++i) {
      visit(records_[ranked_[i]]);
    }
  }

  /// Visits the `count` endpoints of lowest rank that are up, or a sample of them in a large fleet.
  template <typename Visitor>
  void visit_candidates(std::size_t count, const Visitor& visit) {
    if (is_small()) {
      visit_first(count, visit);
    } else {
      visit_sample(count, visit);
    }
  }

  /// Visits min(`count`, kSampleSize) random endpoints, with replacement, of the `count` of lowest
  /// rank that are up.
  template <typename Visitor>
  void visit_sample(std::size_t count, const Visitor& visit) {
    const auto bound = static_cast<double>(count);
    for (std::size_t i = 0; i < std::min(count, kSampleSize); ++i) {
      visit(records_[ranked_[static_cast<std::size_t>(random_.uniform() * bound)]]);
    }
  }

 private:
  static constexpr std::size_t kSmallFleet = 64;  // maximum number of endpoints of a small fleet
  // Number of endpoints in a sample. With 20, a sample includes an endpoint of the best tenth in 7
  // cases out of 8.
  static constexpr std::size_t kSampleSize = 20;

  EndpointRecord& find_or_add(EndpointId id, Time now);
  void restart(EndpointRecord& record, Time now);
  void update_record(const Endpoint& entry, Time now);
  void update_rank(const EndpointRecord& record);
  void rank_listed();

  const std::size_t class_count_;
  RandomSource& random_;
  std::vector<EndpointRecord> records_;  // indexed by EndpointId
  RankedSet ranked_;                     // ids of the endpoints that are up
  std::uint64_t update_number_ = 0;
};

}  // namespace beechhill
