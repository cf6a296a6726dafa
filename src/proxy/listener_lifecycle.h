// The one state machine of the clients' door: serving, sent away by an operator (and back), and the
// planned end, alone or with a successor. What it says follows from when each began; it reads no
// clock and does no I/O.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "beechhill/balancer.h"

namespace beechhill::proxy {

class ListenerLifecycle {
 public:
  // `longest`: the longest deadline that a request can have.
  explicit ListenerLifecycle(Duration longest) : longest_(longest) {}

  void drain(Time now) { drained_ = drained_.value_or(now); }
  void resume() { drained_.reset(); }
  // `succeeded`: another process takes the clients from here on.
  void begin_shutdown(Time now, bool succeeded) {
    if (!ending_) {
      ending_ = now, succeeded_ = succeeded;
    }
  }

  bool is_draining() const { return drained_.has_value(); }
  bool is_shutting_down() const { return ending_.has_value(); }
  // Whether the front may send clients here. With a successor they get there by the same address.
  bool is_ready() const { return !drained_ && (!ending_ || succeeded_); }
  // Callers hear of a planned end only some time after it began; with a successor none waits for
  // this process.
  bool accepts_connections(Time now) const {
    return !ending_ || (!succeeded_ && now < std::min(*ending_ + kAcceptAfterEnd,
                                                      response_deadline() - kLeastForOne));
  }
  // Whether the answer given now is the last on a connection that came at `came`. Alone in its end
  // the process serves kept connections on, as there may be no other for them; those that came
  // after the word close at once.
  bool closes_after_response(Time came, Time now) const {
    return (drained_ && now >= *drained_ + kAwayAfter) ||
           (ending_ && (succeeded_ || came >= *ending_ || now >= response_deadline() - kLastTaken));
  }
  // Whether connections between requests are closed now.
  bool closes_idle_connections(Time now) const {
    return (drained_ && now >= *drained_ + kKeptWhenDrained) ||
           (ending_ && now >= response_deadline() - kLastTaken);
  }
  // When the last answer must have been given: 0.2 s before a kill may come.
  Time response_deadline() const {
    return ending_ ? *ending_ + std::min(longest_, kLongestCounted) + kAnsweredAfterEnd
                   : Time::max();
  }

 private:
  static constexpr Duration kAcceptAfterEnd = std::chrono::seconds(1);
  static constexpr Duration kLongestCounted = std::chrono::seconds(3);
  static constexpr Duration kAnsweredAfterEnd = std::chrono::milliseconds(500);
  static constexpr Duration kLastTaken = std::chrono::milliseconds(600);
  // Clients come for up to 0.4 s after the signal, which with the shortest deadline of all is 0.1 s
  // before this.
  static constexpr Duration kLeastForOne = std::chrono::milliseconds(100);
  // The front asks every 100 ms and acts 200 ms after a no: who parts sooner is sent here again. A
  // drain must stand at 4 s, with no request younger than 2 s.
  static constexpr Duration kAwayAfter = std::chrono::milliseconds(300);
  static constexpr Duration kKeptWhenDrained = std::chrono::milliseconds(1600);

  Duration longest_;
  std::optional<Time> drained_, ending_;  // since when
  bool succeeded_ = false;
};

}  // namespace beechhill::proxy
