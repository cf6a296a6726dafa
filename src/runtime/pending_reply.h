// A reply that one actor awaits from another.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "runtime/scheduler.h"
#include "runtime/task.h"

namespace beechhill::runtime {

/// The reply to an operator's command. Shared by the requester and the actor that executes the
/// command; either may outlive the other. Not thread-safe: all actors run on one thread.
struct PendingReply {
  /// The HTTP status code of the result; 0 until the reply is complete.
  int status = 0;
  /// The number of listed endpoints, and the number of these that the balancer avoids. Set only in
  /// replies to proxy::GetEndpointCounts.
  std::size_t endpoint_count = 0;
  std::size_t avoided_endpoint_count = 0;
  /// The name of the recovery stage, a string literal. Set only in replies to
  /// proxy::GetEndpointCounts.
  const char* recovery_stage = "";
  /// Notified by complete().
  Notifier completed;

  /// Sets the status, which must not be 0, and notifies the requester.
  void complete(int http_status) {
    status = http_status;
    completed.notify();
  }
};

/// HTTP status code (Service Unavailable) of a reply that was not completed in time.
inline constexpr int kReplyTimeoutStatus = 503;

/// A pending reply with a text body.
struct PendingTextReply : PendingReply {
  std::string text;
};

/// Waits until `reply` is complete. Returns its status, or kReplyTimeoutStatus if it is not
/// complete within `timeout`.
inline Task<int> await_reply(Scheduler& scheduler, std::shared_ptr<PendingReply> reply,
                             std::chrono::milliseconds timeout) {
  const TimePoint deadline = Clock::now() + timeout;
  while (reply->status == 0) {
    Wait wait(scheduler);
    wait.notified(reply->completed).until(deadline);
    if (co_await wait == Wake::kTime) {
      co_return kReplyTimeoutStatus;
    }
  }
  co_return reply->status;
}

}  // namespace beechhill::runtime
