// A reply that one actor owes another: the requester waits, the owner of the matter completes it.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "runtime/scheduler.h"
#include "runtime/task.h"

namespace beechhill::runtime {

/// The reply to an operator's command. Shared by the requester and the actor that carries the
/// command out; either may outlive the other. All actors run on one thread.
struct PendingReply {
  /// An HTTP status code; 0 until the reply is complete.
  int status = 0;
  /// Of GetEndpointCounts: backends listed, and how many of those are avoided.
  std::size_t endpoint_count = 0;
  std::size_t avoided_endpoint_count = 0;
  /// Of GetEndpointCounts: the recovery stage, a string literal.
  const char* recovery_stage = "";
  /// Notified by complete().
  Notifier completed;

  /// Sets the status, which must not be 0, and wakes the requester.
  void complete(int http_status) {
    status = http_status;
    completed.notify();
  }
};

/// The status of a reply that did not come in time: Service Unavailable.
inline constexpr int kReplyTimeoutStatus = 503;

/// A reply with a body.
struct PendingTextReply : PendingReply {
  std::string text;
};

/// Waits for `reply`. Returns its status, or kReplyTimeoutStatus where it was not complete within
/// `timeout`.
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
