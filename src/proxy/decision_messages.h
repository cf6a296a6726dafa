// The messages that the decision actor receives.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "beechhill/balancer.h"
#include "config/config.h"
#include "proxy/client_request.h"
#include "runtime/mailbox.h"
#include "runtime/pending_reply.h"
#include "runtime/scheduler.h"
#include "runtime/task.h"

namespace beechhill::proxy {

/// A client's request has been received.
struct RequestReceived {
  std::shared_ptr<ClientRequest> request;
};

/// The client of `request` has disconnected.
struct RequestAbandoned {
  std::shared_ptr<ClientRequest> request;
};

/// The outcome of one AttemptRequest.
struct AttemptCompleted {
  RequestId request_id = 0;
  std::uint32_t attempt_number = 0;
  Result result = Result::kOk;
  LoadReport load_report;
  BackendResponse response;
};

/// A streamed response, one with a `remaining_body`, has ended, whether complete or not.
struct ResponseStreamEnded {
  EndpointId endpoint = 0;
};

/// The outcome of one CheckHealth.
struct HealthCheckCompleted {
  EndpointId endpoint = 0;
  Result result = Result::kOk;
  LoadReport load_report;
};

/// An operator excludes a backend regardless of the endpoint list, or lifts the exclusion.
struct ExcludeBackend {
  std::string backend_id;
  bool excluded = true;
  /// The reply, completed with 200, or with 404 if no endpoint list is known to have named the
  /// backend. Null if another process of this proxy received the command.
  std::shared_ptr<runtime::PendingReply> reply;
};

/// Requests the number of listed backends and how many of them are currently avoided.
struct GetEndpointCounts {
  std::shared_ptr<runtime::PendingReply> reply;
};

/// Tells this proxy until when it may send new requests, as agreed among the proxies.
struct DispatchPermissions {
  /// When the permission to send requests to a backend ends, by backend id; Time::min() if there is
  /// no permission. Lists only backends that are under maintenance or selected for it next.
  std::map<std::string, Time> permitted_until;
  /// When the permission to send requests ends for all backends.
  Time serving_permitted_until = Time::max();
};

/// Reports that all updates that discovery had written when a Resync was received have been posted.
struct ResyncComplete {};

using DecisionMessage =
    std::variant<RequestReceived, RequestAbandoned, AttemptCompleted, ResponseStreamEnded,
                 HealthCheckCompleted, config::EndpointList, ResyncComplete, ExcludeBackend,
                 GetEndpointCounts, DispatchPermissions>;
using DecisionMailbox = runtime::Mailbox<DecisionMessage>;

/// Posts `message` and retries every millisecond while the mailbox is full. Used for messages that
/// must not be lost.
runtime::Task<> post_reliably(runtime::Scheduler& scheduler, DecisionMailbox& mailbox,
                              DecisionMessage message);

}  // namespace beechhill::proxy
