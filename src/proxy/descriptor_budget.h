// How many descriptors one side of the proxy may hold.
#pragma once

#include <cstddef>

namespace beechhill::proxy {

/// A counter with a limit that may change.
class DescriptorBudget {
 public:
  explicit DescriptorBudget(std::size_t limit) : limit_(limit) {}

  bool has_capacity() const { return used_ < limit_; }
  std::size_t used() const { return used_; }
  /// Below used(): there is no capacity until enough slots have been released.
  void set_limit(std::size_t limit) { limit_ = limit; }

  /// One descriptor, for as long as this lives. Taken whether or not there is capacity.
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
