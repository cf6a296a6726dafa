// The state machine of the client listener: serving, drained by an operator (and resumed), and the
// graceful shutdown, alone or with a successor.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "beechhill/balancer.h"

namespace beechhill::proxy {

/// All it answers follows from when each state began. Reads no clock and does no I/O.
class ListenerLifecycle {
 public:
  /// `max_deadline`: the longest deadline that a request can have.
  explicit ListenerLifecycle(Duration max_deadline) : max_deadline_(max_deadline) {}

  /// Without effect where it is drained already.
  void drain(Time now) { drained_at_ = drained_at_.value_or(now); }
  void resume() { drained_at_.reset(); }
  /// `has_successor`: another process accepts the clients from now on. Only the first call counts.
  void begin_shutdown(Time now, bool has_successor) {
    if (!shutdown_at_) {
      shutdown_at_ = now;
      has_successor_ = has_successor;
    }
  }

  bool is_draining() const { return drained_at_.has_value(); }
  bool is_shutting_down() const { return shutdown_at_.has_value(); }

  /// Whether the front may send clients here. With a successor they reach it at the same address.
  bool is_ready() const { return !drained_at_ && (!shutdown_at_ || has_successor_); }

  /// Whether new connections are accepted. Clients learn of a shutdown only some time after it
  /// began; with a successor none waits for this process.
  bool accepts_connections(Time now) const {
    if (!shutdown_at_) {
      return true;
    }
    return !has_successor_ &&
           now < std::min(*shutdown_at_ + kAcceptWindow, response_deadline() - kMinRequestTime);
  }

  /// Whether a response given now is the last on a connection that was accepted at `accepted_at`.
  /// Without a successor the process goes on serving kept connections, as there may be no other
  /// process for their clients; those accepted after the shutdown began close at once.
  bool closes_after_response(Time accepted_at, Time now) const {
    const bool drained = drained_at_ && now >= *drained_at_ + kDrainNoticeTime;
    const bool shutting_down = shutdown_at_ && (has_successor_ || accepted_at >= *shutdown_at_ ||
                                                now >= response_deadline() - kLastRequestTime);
    return drained || shutting_down;
  }

  /// Whether connections between requests are closed now.
  bool closes_idle_connections(Time now) const {
    return (drained_at_ && now >= *drained_at_ + kIdleTimeWhenDrained) ||
           (shutdown_at_ && now >= response_deadline() - kLastRequestTime);
  }

  /// When the last response must have been given: 0.2 s before the process may be killed.
  Time response_deadline() const {
    return shutdown_at_
               ? *shutdown_at_ + std::min(max_deadline_, kMaxCountedDeadline) + kResponseSlack
               : Time::max();
  }

 private:
  static constexpr Duration kAcceptWindow = std::chrono::seconds(1);
  static constexpr Duration kMaxCountedDeadline = std::chrono::seconds(3);
  static constexpr Duration kResponseSlack = std::chrono::milliseconds(500);
  /// No request is read later than this before the response deadline.
  static constexpr Duration kLastRequestTime = std::chrono::milliseconds(600);
  /// Clients come for up to 0.4 s after the signal, which with the shortest deadline of all is 0.1
  /// s before the response deadline.
  static constexpr Duration kMinRequestTime = std::chrono::milliseconds(100);
  /// The front polls readiness every 100 ms and acts 200 ms after a refusal: a client whose
  /// connection closes sooner is sent here again.
  static constexpr Duration kDrainNoticeTime = std::chrono::milliseconds(300);
  /// A drain must be complete after 4 s, with no request younger than 2 s.
  static constexpr Duration kIdleTimeWhenDrained = std::chrono::milliseconds(1600);

  Duration max_deadline_;
  std::optional<Time> drained_at_;
  std::optional<Time> shutdown_at_;
  bool has_successor_ = false;
};

}  // namespace beechhill::proxy
