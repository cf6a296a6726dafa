// The messages that a backend's actor receives, and the interface through which the decision actor
// posts them.
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

/// Requests one attempt of a client request. The backend's actor answers with exactly one
/// AttemptCompleted.
struct AttemptRequest {
  RequestId request_id = 0;
  /// Index among the request's attempts, from 0.
  std::uint32_t attempt_number = 0;
  /// The attempt fails if no connection is established by this time.
  Time connect_deadline{0};
  /// When the proxy stops waiting for the response. For a streamed request body this is an
  /// estimate; once the body is complete, the deadline of `request` applies.
  Time deadline{0};
  std::shared_ptr<const Payload> payload;
  /// The client request, whose state shows whether the attempt's outcome is still needed. If null,
  /// the outcome is always needed.
  std::shared_ptr<const ClientRequest> request;
  /// The request, or the first part of a streamed one, must be written by this time. If the time
  /// has passed before writing begins, nothing is sent.
  Time write_deadline = Time::max();
};

/// Cancels an attempt. Has no effect if the attempt has already ended.
struct CancelAttempt {
  RequestId request_id = 0;
  std::uint32_t attempt_number = 0;
};

/// Requests a health check. The backend's actor answers with exactly one HealthCheckCompleted.
struct CheckHealth {};

/// Reports the state of the backend in the endpoint list and its dispatch permission.
struct BackendStatus {
  EndpointStatus status = EndpointStatus::kUp;
  sockaddr_in address{};
  /// Unix time of the backend's latest start; 0 if discovery does not state it.
  std::chrono::milliseconds started_at{0};
  /// No new request may be sent to the backend from this time on.
  Time permitted_until = Time::max();
};

using BackendMessage = std::variant<AttemptRequest, CancelAttempt, CheckHealth, BackendStatus>;

/// The decision actor's interface to the actor of a backend, independent of the backend's protocol.
class Backend {
 public:
  virtual ~Backend() = default;

  /// Returns false and leaves `message` unchanged if the mailbox is full.
  [[nodiscard]] virtual bool post(BackendMessage&& message) = 0;
};

}  // namespace beechhill::proxy
