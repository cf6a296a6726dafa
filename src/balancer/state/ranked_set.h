// A set of endpoint ids ordered by a constant rank, so that the first k ids change little as others
// are added and removed.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "beechhill/types.h"

namespace beechhill {

/// A sorted vector of ids. The caller must pass the same rank for an id each time.
class RankedSet {
 public:
  /// Takes O(log n) to find the position and O(n) to move the entries behind it, of 16 bytes
  /// each, which takes 10 us with 10,000 entries. Does nothing if the id is present.
  void insert(double rank, EndpointId id) {
    const Entry entry{rank, id};
    const auto at = std::lower_bound(entries_.begin(), entries_.end(), entry);
    if (at == entries_.end() || *at != entry) {
      entries_.insert(at, entry);
    }
  }

  /// Takes as long as insert(). Does nothing if the id is absent.
  void erase(double rank, EndpointId id) {
    const Entry entry{rank, id};
    const auto at = std::lower_bound(entries_.begin(), entries_.end(), entry);
    if (at != entries_.end() && *at == entry) {
      entries_.erase(at);
    }
  }

  /// Replaces all entries, given in any order and with each id once. O(n log n).
  void assign(std::vector<std::pair<double, EndpointId>> entries) {
    entries_ = std::move(entries);
    std::sort(entries_.begin(), entries_.end());
  }

  std::size_t size() const { return entries_.size(); }

  /// Returns the id with the `index`-th lowest rank, from 0. `index` must be less than size().
  EndpointId operator[](std::size_t index) const { return entries_[index].second; }

 private:
  using Entry = std::pair<double, EndpointId>;
  std::vector<Entry> entries_;
};

}  // namespace beechhill
