// A sliding window against replayed datagrams, as in IPsec (RFC 6479 describes the general form).
#pragma once

#include <cstdint>

namespace beechhill::membership {

/// Accepts each number at most once. A number is rejected if a number that is higher by kSize or
/// more has been accepted.
class ReplayWindow {
 public:
  static constexpr std::uint64_t kSize = 64;

  /// Records `number` and returns true if it is new and lies within the window. Returns false
  /// otherwise.
  bool accept(std::uint64_t number) {
    if (number > highest_) {
      const std::uint64_t advance = number - highest_;
      seen_ = advance < kSize ? seen_ << advance : 0;
      seen_ |= 1;
      highest_ = number;
      return true;
    }
    const std::uint64_t age = highest_ - number;
    if (age >= kSize || (seen_ >> age & 1) != 0) {
      return false;
    }
    seen_ |= std::uint64_t{1} << age;
    return true;
  }

 private:
  std::uint64_t highest_ = 0;
  /// Bit i is set if highest_ - i has been accepted.
  std::uint64_t seen_ = 0;
};

}  // namespace beechhill::membership
