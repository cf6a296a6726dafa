// Decides how long an exchange waits for more of a response that it has not forwarded yet, and what
// it does when that time is over. Performs no I/O and reads no clock.
#pragma once

#include <algorithm>
#include <optional>

#include "beechhill/balancer.h"

namespace beechhill::proxy {

/// What has been received of a response so far.
enum class ResponsePart {
  /// No byte of the response. Interim (1xx) responses do not count, as a backend may send them long
  /// before it responds.
  kNothing,
  /// Part of the head.
  kHead,
  /// The head, and part of a body that is short enough to be buffered as a whole.
  kShortBody,
  /// The head, and part of a body that may be too long to be buffered: its length is not stated, or
  /// exceeds what is buffered.
  kLongBody,
};

/// What happens when the time to wait for more bytes is over.
enum class WaitLimit {
  /// The request's deadline has passed, and the attempt fails.
  kDeadline,
  /// No byte has arrived for the maximum gap. The attempt fails, as the response is assumed to be
  /// shorter than its stated length.
  kGap,
  /// The received part has been held back for the maximum time, and is forwarded. Whether a long
  /// body is incomplete or slow cannot be told, and failing the attempt would cut off a sound one.
  kHold,
};

/// The time limits of the first part of one response.
class FirstPartWait {
 public:
  struct Until {
    Time time{0};
    WaitLimit limit = WaitLimit::kDeadline;
  };

  /// `deadline` is the request's. `max_gap` and `max_hold` must not be negative.
  FirstPartWait(Time deadline, Duration max_gap, Duration max_hold)
      : deadline_(deadline), max_gap_(max_gap), max_hold_(max_hold) {}

  /// Returns until when to wait for the next byte after `part` has been received by `now`. Calls
  /// must be in the order of time.
  Until until(ResponsePart part, Time now) {
    switch (part) {
      case ResponsePart::kNothing:
        break;
      case ResponsePart::kHead:
      case ResponsePart::kShortBody:
        return earlier_of_deadline_and({now + max_gap_, WaitLimit::kGap});
      case ResponsePart::kLongBody:
        return {hold_until(now), WaitLimit::kHold};
    }
    return {deadline_, WaitLimit::kDeadline};
  }

 private:
  Until earlier_of_deadline_and(Until other) const {
    return deadline_ <= other.time ? Until{deadline_, WaitLimit::kDeadline} : other;
  }
  // The client must receive the first bytes before the deadline, so a part is held back for half of
  // the remaining time at most.
  Time hold_until(Time now) {
    if (!hold_until_) {
      const Duration remaining = std::max(deadline_ - now, Duration{0});
      hold_until_ = now + std::min(max_hold_, remaining / 2);
    }
    return *hold_until_;
  }

  const Time deadline_;
  const Duration max_gap_;
  const Duration max_hold_;
  /// Set when the head of a response with a long body has been received.
  std::optional<Time> hold_until_;
};

}  // namespace beechhill::proxy
