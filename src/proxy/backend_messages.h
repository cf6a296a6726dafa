// The messages that a backend's actor receives, and the interface through which the decision actor
// sends them.
#pragma once

#include <netinet/in.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>

#include "beechhill/balancer.h"
#include "proxy/client_request.h"
#include "proxy/payload.h"

namespace beechhill::proxy {

/// Carry out one attempt of a request. Answered by exactly one AttemptCompleted.
struct AttemptRequest {
  RequestId request_id = 0;
  /// Of the request's attempts, from 0.
  std::uint32_t attempt_number = 0;
  /// A connection that is not established by then has failed.
  Time connect_deadline{0};
  /// When the proxy stops waiting for the response.
  Time deadline{0};
  /// Of a streamed body: how long the response may take, from its last byte's write.
  Duration response_timeout{0};
  std::shared_ptr<const Payload> payload;
  /// Null where no client can disconnect.
  std::shared_ptr<const ClientRequest> request;
  /// The request's last byte is written by then, or the attempt is not carried out.
  Time write_deadline = Time::max();
};

/// Cancel an attempt; without effect where its outcome is under way already.
struct CancelAttempt {
  RequestId request_id = 0;
  std::uint32_t attempt_number = 0;
};

/// Carry out a health check. Answered by exactly one HealthCheckCompleted.
struct CheckHealth {};

/// The backend's state in the endpoint list.
struct BackendStatus {
  EndpointStatus status = EndpointStatus::kUp;
  sockaddr_in address{};
  /// Unix time of the backend's latest start; 0: not stated.
  std::chrono::milliseconds started_at{0};
  /// When the permission to send new requests there ends.
  Time permitted_until = Time::max();
};

using BackendMessage = std::variant<AttemptRequest, CancelAttempt, CheckHealth, BackendStatus>;

/// A backend as the decision actor sees it, whatever protocol it speaks.
class Backend {
 public:
  virtual ~Backend() = default;

  /// False, with `message` unchanged, when the mailbox is full.
  [[nodiscard]] virtual bool post(BackendMessage&& message) = 0;
};

}  // namespace beechhill::proxy
