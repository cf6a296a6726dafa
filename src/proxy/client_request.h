// One client's request and the response that it gets, independent of the client's protocol.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "beechhill/balancer.h"
#include "proxy/body_pipe.h"
#include "proxy/payload.h"
#include "runtime/scheduler.h"

namespace beechhill::proxy {

/// A backend's response that is passed on to the client.
struct BackendResponse {
  /// The body, or its first part.
  std::string body;
  std::string content_type;
  /// The part of a streamed body that follows `body`; null where `body` is complete.
  std::shared_ptr<BodyPipe> remaining_body;
  /// Bytes of a streamed body, `body` included, where the backend stated them.
  std::optional<std::uint64_t> content_length;
};

/// The request was not executed: the client may retry it.
struct Rejection {
  /// When to retry; zero: not stated.
  Duration retry_after{0};
};

/// The request failed and may have been executed.
struct Failure {};

/// The one final response to a request.
using ClientResponse = std::variant<BackendResponse, Rejection, Failure>;

/// One request of a client, shared by its connection, the decision actor and the backends' actors.
/// The connection waits on `response_ready` for the one response.
struct ClientRequest {
  /// Assigned by the decision actor.
  RequestId id = 0;
  ClassId class_id = 0;
  TenantId tenant = kNoTenant;
  Time arrived_at{0};
  /// When the proxy stops waiting. Of a streamed body an estimate until its last byte has arrived.
  Time deadline{0};
  /// How long the client waits, from the last byte of its request.
  Duration client_timeout{0};
  std::shared_ptr<const Payload> payload;
  std::optional<ClientResponse> response;
  runtime::Notifier response_ready;
  /// The client has disconnected. Set as soon as that is noticed: the RequestAbandoned message may
  /// wait in a mailbox, and no attempt may begin meanwhile.
  bool abandoned = false;

  /// Whether the body is passed on as it arrives, and not buffered.
  bool streams_body() const { return payload->remaining_body() != nullptr; }
  bool awaits_response() const { return !abandoned && !response; }
};

}  // namespace beechhill::proxy
