// The state machine of the client listener. It serves clients, may be drained by an operator and
// resumed, and shuts down gracefully, with or without a successor process.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "beechhill/balancer.h"

namespace beechhill::proxy {

/// The states of one listener, computed from the times at which its drain and its shutdown began.
/// Reads no clock and does no I/O.
class ListenerLifecycle {
 public:
  /// `max_deadline` is the longest deadline that a request can have.
  explicit ListenerLifecycle(Duration max_deadline) : max_deadline_(max_deadline) {}

  /// Begins a drain. Has no effect if the listener is already draining.
  void drain(Time now) { draining_since_ = draining_since_.value_or(now); }
  /// Ends the drain.
  void resume() { draining_since_.reset(); }
  /// Begins the shutdown. `has_successor` states that another process accepts clients from now on.
  /// Only the first call has an effect.
  void begin_shutdown(Time now, bool has_successor) {
    if (!shutdown_at_) {
      shutdown_at_ = now;
      has_successor_ = has_successor;
    }
  }

  bool is_draining() const { return draining_since_.has_value(); }
  bool is_shutting_down() const { return shutdown_at_.has_value(); }

  /// Whether the readiness check succeeds. It fails while draining. It also fails during a
  /// shutdown, unless there is a successor, which serves the same address.
  bool is_ready() const { return !draining_since_ && (!shutdown_at_ || has_successor_); }

  /// Whether new connections are accepted. A draining listener accepts them. During a shutdown
  /// without a successor, connections are accepted for up to kAcceptWindow, because clients learn
  /// of the shutdown late. During a shutdown with a successor none are accepted.
  bool accepts_connections(Time now) const {
    if (!shutdown_at_) {
      return true;
    }
    return !has_successor_ &&
           now < std::min(*shutdown_at_ + kAcceptWindow, response_deadline() - kAcceptCutoffMargin);
  }

  /// Whether a response sent now is the last on a connection that was accepted at `accepted_at`.
  /// During a shutdown without a successor, connections accepted before the shutdown stay open
  /// almost until the response deadline, because there may be no other process for their clients;
  /// those accepted later close after one response.
  bool closes_after_response(Time accepted_at, Time now) const {
    const bool drain_announced = draining_since_ && now >= *draining_since_ + kDrainNoticeTime;
    const bool shutting_down = shutdown_at_ && (has_successor_ || accepted_at >= *shutdown_at_ ||
                                                now >= response_deadline() - kReadCutoffMargin);
    return drain_announced || shutting_down;
  }

  /// Whether connections that are idle at `now` must be closed.
  bool closes_idle_connections(Time now) const {
    return (draining_since_ && now >= *draining_since_ + kIdleTimeWhenDraining) ||
           (shutdown_at_ && now >= response_deadline() - kReadCutoffMargin);
  }

  /// When the last response must have been sent, 0.2 s before the process may be killed.
  /// Time::max() if the listener is not shutting down.
  Time response_deadline() const {
    return shutdown_at_
               ? *shutdown_at_ + std::min(max_deadline_, kMaxCountedDeadline) + kResponseSlack
               : Time::max();
  }

 private:
  static constexpr Duration kAcceptWindow = std::chrono::seconds(1);
  static constexpr Duration kMaxCountedDeadline = std::chrono::seconds(3);
  static constexpr Duration kResponseSlack = std::chrono::milliseconds(500);
  /// Idle connections are closed this long before the response deadline, so that no request is read
  /// too late to be answered.
  static constexpr Duration kReadCutoffMargin = std::chrono::milliseconds(600);
  /// Accepting connections ends at the latest this long before the response deadline. Clients
  /// connect for up to 0.4 s after the shutdown begins; if the maximum request deadline is close to
  /// 0, that is 0.1 s before the response deadline.
  static constexpr Duration kAcceptCutoffMargin = std::chrono::milliseconds(100);
  /// During a drain, connections stay open for at least this time. The load balancer in front of
  /// the proxy polls readiness every 100 ms and stops routing clients to this process 200 ms after
  /// a failed poll; a client whose connection closes earlier would be routed to this process again.
  static constexpr Duration kDrainNoticeTime = std::chrono::milliseconds(300);
  /// During a drain, idle connections are closed after this time. The drain must be complete after
  /// 4 s, and no request may begin in its last 2 s.
  static constexpr Duration kIdleTimeWhenDraining = std::chrono::milliseconds(1600);

  Duration max_deadline_;
  std::optional<Time> draining_since_;
  std::optional<Time> shutdown_at_;
  bool has_successor_ = false;
};

}  // namespace beechhill::proxy
