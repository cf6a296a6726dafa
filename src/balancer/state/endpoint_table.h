// All endpoints that were ever named, and the ranking of those that are up.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "balancer/state/endpoint_state.h"
#include "balancer/state/random_source.h"
#include "balancer/state/ranked_set.h"
#include "beechhill/events.h"

namespace beechhill {

/// Owns the records, which are never removed: ids are dense, so that 10,000 take a few MB.
/// References to records are valid until the next id that was not known.
class EndpointTable {
 public:
  /// `random` must outlive the table.
  EndpointTable(std::size_t class_count, RandomSource& random)
      : class_count_(class_count), random_(random) {}

  /// Takes over what discovery listed: O(changes log n), or O(n log n) for a full list.
  void apply(const EndpointUpdate& update, Time now);
  /// Takes over what an operator excluded or readmitted.
  void apply(const EndpointExclusion& exclusion, Time now);
  /// Adds what an earlier process knew. The caller has bounded it.
  void restore(const RestoredStats& restored, Time now);

  std::size_t size() const { return records_.size(); }
  std::size_t up_count() const { return ranked_.size(); }
  /// up_count(), or 1 where none is up: to divide by.
  std::size_t positive_up_count() const { return std::max<std::size_t>(1, ranked_.size()); }
  /// Whether the fleet is small enough for each choice to look at every endpoint.
  bool is_small() const { return ranked_.size() <= kSmallFleet; }
  /// Whether none is up and operators have excluded some: nothing will come of waiting.
  bool all_excluded() const;

  bool contains(EndpointId id) const { return id < records_.size(); }
  EndpointRecord& operator[](EndpointId id) { return records_[id]; }
  const EndpointRecord& operator[](EndpointId id) const { return records_[id]; }
  const std::vector<EndpointRecord>& records() const { return records_; }

  /// Shows the `count` endpoints of lowest rank that are up, in the order of their ranks.
  template <typename Visitor>
  void visit_first(std::size_t count, const Visitor& visit) {
    for (std::size_t i = 0; i < count; ++i) {
      visit(records_[ranked_[i]]);
    }
  }

  /// Shows the `count` of lowest rank in a small fleet, and in a large one a sample of them.
  template <typename Visitor>
  void visit_candidates(std::size_t count, const Visitor& visit) {
    if (is_small()) {
      visit_first(count, visit);
    } else {
      visit_sample(count, visit);
    }
  }

  /// Shows as many of the `count` of lowest rank as kSampleSize, drawn with replacement.
  template <typename Visitor>
  void visit_sample(std::size_t count, const Visitor& visit) {
    const auto bound = static_cast<double>(count);
    for (std::size_t i = 0; i < std::min(count, kSampleSize); ++i) {
      visit(records_[ranked_[static_cast<std::size_t>(random_.uniform() * bound)]]);
    }
  }

 private:
  static constexpr std::size_t kSmallFleet = 64;  // endpoints
  // 7 times of 8, one of the best tenth is among so many.
  static constexpr std::size_t kSampleSize = 20;

  EndpointRecord& find_or_add(EndpointId id, Time now);
  void restart(EndpointRecord& record, Time now);
  void update_record(const Endpoint& entry, Time now);
  void update_rank(const EndpointRecord& record);
  void rank_listed();

  const std::size_t class_count_;
  RandomSource& random_;
  std::vector<EndpointRecord> records_;  // by id
  RankedSet ranked_;                     // those that are up
  std::uint64_t update_number_ = 0;
};

}  // namespace beechhill
