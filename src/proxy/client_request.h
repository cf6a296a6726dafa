// A client's request and its response, independent of the client's protocol.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "beechhill/balancer.h"
#include "proxy/body_pipe.h"
#include "proxy/buffer_budget.h"
#include "proxy/payload.h"
#include "proxy/trace_id_table.h"
#include "runtime/scheduler.h"

namespace beechhill::proxy {

/// How long a trace id stays reserved after its request's deadline, even if the request has ended.
inline constexpr Duration kTraceIdRetention = std::chrono::seconds{1};

/// A backend's response that is forwarded to the client.
struct BackendResponse {
  /// The complete body, or the first part of a streamed one.
  std::string body;
  std::string content_type;
  /// The part of a streamed body that follows `body`; null if `body` is complete.
  std::shared_ptr<BodyPipe> remaining_body;
  /// Total length of a streamed body in bytes, `body` included; empty if the backend did not state
  /// it.
  std::optional<std::uint64_t> content_length;
  /// The memory of `body`.
  BufferBudget::Usage memory;
};

/// The response to a request that was not executed, so that the client may retry it.
struct Rejection {
  /// Delay after which the client should retry; zero if none is stated.
  Duration retry_after{0};
};

/// The response to a request that failed and may have been executed.
struct Failure {};

/// The final response to a request.
using ClientResponse = std::variant<BackendResponse, Rejection, Failure>;

/// A client's request, shared by its connection, the decision actor and the backends' actors. The
/// connection waits on `response_ready` for `response` to be set.
struct ClientRequest {
  /// The request's id, assigned by the decision actor.
  RequestId id = 0;
  ClassId class_id = 0;
  TenantId tenant = kNoTenant;
  Time arrived_at{0};
  /// When the proxy stops waiting for a response. For a streamed body this is an estimate, as the
  /// client's timeout starts only when the body's last byte has been received.
  Time deadline{0};
  /// How long the client waits for a response after the last byte of its request.
  Duration client_timeout{0};
  std::shared_ptr<const Payload> payload;
  /// Reserves the request's trace id until the client has received the response and the last
  /// attempt has ended.
  TraceIdReservation trace_id;
  /// The memory of `payload`, without a streamed body.
  BufferBudget::Usage payload_memory;
  std::optional<ClientResponse> response;
  runtime::Notifier response_ready;
  /// Whether the client has disconnected. Set in addition to posting RequestAbandoned, so that no
  /// attempt starts while that message waits in a mailbox.
  bool abandoned = false;

  /// Whether the body is forwarded as it arrives instead of being buffered.
  bool streams_body() const { return payload->streamed_body() != nullptr; }
  bool awaits_response() const { return !abandoned && !response; }
};

}  // namespace beechhill::proxy
