// Endpoint ids in the order of a rank that each keeps as long as it is known: the first k of them
// are the same k while others come and go.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "beechhill/types.h"

namespace beechhill {

/// Owns its entries. An id is given with the same rank each time.
class RankedSet {
 public:
  /// O(log n) to find the place, and a move of what stands behind it: 16 bytes each, 10 us at
  /// 10,000. Does nothing where the id is contained.
  void insert(double rank, EndpointId id) {
    const Entry entry{rank, id};
    const auto at = std::lower_bound(entries_.begin(), entries_.end(), entry);
    if (at == entries_.end() || *at != entry) {
      entries_.insert(at, entry);
    }
  }

  /// As costly as insert(). Does nothing where the id is not contained.
  void erase(double rank, EndpointId id) {
    const Entry entry{rank, id};
    const auto at = std::lower_bound(entries_.begin(), entries_.end(), entry);
    if (at != entries_.end() && *at == entry) {
      entries_.erase(at);
    }
  }

  /// Replaces all entries; they may come in any order, each id once. O(n log n).
  void assign(std::vector<std::pair<double, EndpointId>> entries) {
    entries_ = std::move(entries);
    std::sort(entries_.begin(), entries_.end());
  }

  std::size_t size() const { return entries_.size(); }

  /// The id with the `index`-th lowest rank, from 0.
  EndpointId operator[](std::size_t index) const { return entries_[index].second; }

 private:
  using Entry = std::pair<double, EndpointId>;
  std::vector<Entry> entries_;
};

}  // namespace beechhill
