// How many descriptors one side of the proxy may hold.
#pragma once

#include <cstddef>

namespace beechhill::proxy {

class DescriptorBudget {
 public:
  explicit DescriptorBudget(std::size_t limit) : limit_(limit) {}
  bool has_capacity() const { return used_ < limit_; }
  std::size_t used() const { return used_; }
  // Under what is used: there is no room until so many have gone.
  void set_limit(std::size_t limit) { limit_ = limit; }

  class Slot {  // one descriptor's place, for as long as this lives
   public:
    explicit Slot(DescriptorBudget& budget) : budget_(budget) { ++budget_.used_; }
    ~Slot() { --budget_.used_; }
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

   private:
    DescriptorBudget& budget_;
  };

 private:
  std::size_t limit_, used_ = 0;
};

}  // namespace beechhill::proxy
