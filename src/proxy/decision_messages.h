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

/// A client's request has been read.
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

/// A response with a `remaining_body` has ended, completely or not.
struct ResponseStreamEnded {
  EndpointId endpoint = 0;
};

/// The outcome of one CheckHealth.
struct HealthCheckCompleted {
  EndpointId endpoint = 0;
  Result result = Result::kOk;
  LoadReport load_report;
};

/// An operator excludes a backend, whatever the endpoint list says of it, or lifts the exclusion.
struct ExcludeBackend {
  std::string backend_id;
  bool excluded = true;
  /// Completed with 200, or 404 where no list ever named the backend. Null where another process of
  /// this proxy received the command.
  std::shared_ptr<runtime::PendingReply> reply;
};

/// Asks how many backends are listed, and how many of those are avoided now.
struct GetEndpointCounts {
  std::shared_ptr<runtime::PendingReply> reply;
};

/// Where new requests may be sent, as the proxies have agreed.
struct DispatchPermissions {
  /// By backend id, of backends under maintenance or next to be; Time::min(): not permitted.
  std::map<std::string, Time> permitted_until;
  /// Nothing is sent to any backend after this.
  Time serving_permitted_until = Time::max();
};

/// All that discovery had written when a Resync was received has been posted.
struct ResyncComplete {};

using DecisionMessage =
    std::variant<RequestReceived, RequestAbandoned, AttemptCompleted, ResponseStreamEnded,
                 HealthCheckCompleted, config::EndpointList, ResyncComplete, ExcludeBackend,
                 GetEndpointCounts, DispatchPermissions>;
using DecisionMailbox = runtime::Mailbox<DecisionMessage>;

/// Posts `message`, and retries each millisecond for as long as the mailbox is full: for messages
/// that must not be lost.
runtime::Task<> post_reliably(runtime::Scheduler& scheduler, DecisionMailbox& mailbox,
                              DecisionMessage message);

}  // namespace beechhill::proxy
