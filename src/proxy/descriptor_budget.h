// Limits the number of descriptors that one side of the proxy holds.
#pragma once

#include <cstddef>

namespace beechhill::proxy {

/// Counts used descriptors against a limit that may change.
class DescriptorBudget {
 public:
  explicit DescriptorBudget(std::size_t limit) : limit_(limit) {}

  bool has_capacity() const { return used_ < limit_; }
  std::size_t used() const { return used_; }
  /// If `limit` is below used(), there is no capacity until enough slots have been released.
  void set_limit(std::size_t limit) { limit_ = limit; }

  /// Counts one descriptor as used while the slot exists, even if that exceeds the limit.
  class Slot {
   public:
    explicit Slot(DescriptorBudget& budget) : budget_(budget) { ++budget_.used_; }
    ~Slot() { --budget_.used_; }
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

   private:
    DescriptorBudget& budget_;
  };

 private:
  std::size_t limit_;
  std::size_t used_ = 0;
};

}  // namespace beechhill::proxy
