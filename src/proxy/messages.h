// What the actors say to one another. Nothing here knows which protocol a client or a backend
// speaks.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "beechhill/balancer.h"
#include "config/config.h"
#include "proxy/body_pipe.h"
#include "runtime/mailbox.h"
#include "runtime/pending_reply.h"
#include "runtime/time.h"

namespace beechhill::proxy {

using runtime::now;
using runtime::PendingReply;
using runtime::PendingTextReply;
using runtime::to_point;
using runtime::to_time;

// The request as a backend is to get it.
class Payload {
 public:
  virtual ~Payload() = default;
  // All bytes of it; `left` is how long the proxy will wait.
  virtual std::string encode(const std::string& host, Duration left) const = 0;
  // What of the body follows those bytes, for one reader; null where they are all.
  virtual const std::shared_ptr<BodyPipe>& remaining_body() const {
    static const std::shared_ptr<BodyPipe> none;
    return none;
  }
  // Bytes of the body as they go on the wire.
  virtual std::string frame_body(std::string bytes) const { return bytes; }
  virtual std::string frame_body_end() const { return {}; }
  // What the request is called; a backend may begin its answer with it.
  virtual std::string_view trace_id() const { return {}; }
};

struct BackendResponse {  // a backend's answer to pass on
  std::string body, content_type;
  std::shared_ptr<BodyPipe> remaining_body;  // what of the body follows; null where that is all
  std::optional<std::uint64_t>
      content_length;  // of all of it, with `rest` and where the backend told
};

struct Rejection {  // refused: trying again is harmless
  Duration retry_after{0};
};
struct Failure {};
using ClientResponse = std::variant<BackendResponse, Rejection, Failure>;

// One request of a client. The client connection that took it waits on `answered` for its one final
// answer.
struct ClientRequest {
  RequestId id = 0;  // given by the decision actor
  ClassId class_id = 0;
  TenantId tenant = kNoTenant;
  Time arrived_at{0},
      deadline{0};             // of a large one's last byte, once that has come: guessed before
  Duration client_timeout{0};  // that the client will, from its last byte
  std::shared_ptr<const Payload> payload;
  bool streams_body() const {
    return payload->remaining_body() != nullptr;
  }  // its body is not kept, but passed on as it comes
  std::optional<ClientResponse> response;
  runtime::Notifier response_ready;
  // Its client has gone. Set the moment that is noticed: the word of it, a message, may wait behind
  // others, and nothing may begin meanwhile.
  bool abandoned = false;
  bool awaits_response() const { return !abandoned && !response; }
};

struct AttemptRequest {  // to be carried out
  RequestId request_id = 0;
  std::uint32_t attempt_number = 0;  // of the request's, from 0
  Time connect_deadline{0};          // a connection not up by then has failed
  Time deadline{0};                  // when the proxy stops waiting
  Duration response_timeout{0};      // of a large request: from when its last byte is written
  std::shared_ptr<const Payload> payload;
  std::shared_ptr<const ClientRequest> request;  // null: nobody who could leave waits for it
  Time write_deadline = Time::max();             // its last byte has left by then, or never does
};
struct CancelAttempt {
  RequestId request_id = 0;
  std::uint32_t attempt_number = 0;
};
struct CheckHealth {};
struct BackendStatus {  // what discovery says of a backend
  EndpointStatus status = EndpointStatus::kUp;
  sockaddr_in address{};
  std::chrono::milliseconds started_at{0};  // its last start as the list has it
  Time permitted_until = Time::max();       // when the right to send new work there ends
};
using BackendMessage = std::variant<AttemptRequest, CancelAttempt, CheckHealth, BackendStatus>;

struct RequestReceived {
  std::shared_ptr<ClientRequest> request;
};
struct RequestAbandoned {  // the client has gone away
  std::shared_ptr<ClientRequest> request;
};
struct AttemptCompleted {
  RequestId request_id = 0;
  std::uint32_t attempt_number = 0;
  Result result = Result::kOk;
  LoadReport load_report;
  BackendResponse response;
};
struct ResponseStreamEnded {  // the rest of an answer has ended, however
  EndpointId endpoint = 0;
};
struct HealthCheckCompleted {
  EndpointId endpoint = 0;
  Result result = Result::kOk;
  LoadReport load_report;
};

struct ExcludeBackend {  // leave a backend out, or let it serve again, whatever the list says
  std::string backend_id;
  bool excluded = true;
  std::shared_ptr<PendingReply>
      reply;  // 200, or 404 where no list ever named it; null: another process had it done
};
struct GetEndpointCounts {  // how many backends are listed, and how many of them are avoided now
  std::shared_ptr<PendingReply> reply;
};

struct DispatchPermissions {  // what may be used, as the proxies have settled it
  std::map<std::string, Time>
      permitted_until;  // of machines that are next to be taken out, or out (Time::min()), by id
  Time serving_permitted_until = Time::max();  // nothing at all beyond
};

struct ResyncComplete {
};  // all that discovery had written when a CatchUp was taken has been posted

using DecisionMessage =
    std::variant<RequestReceived, RequestAbandoned, AttemptCompleted, ResponseStreamEnded,
                 HealthCheckCompleted, config::EndpointList, ResyncComplete, ExcludeBackend,
                 GetEndpointCounts, DispatchPermissions>;
using DecisionMailbox = runtime::Mailbox<DecisionMessage>;

struct StartWatch {};   // the module wants the list watched: no more pausing
struct RedirectWatch {  // discovery is elsewhere from now on
  sockaddr_in address{};
};
struct Resync {                // read all that was written, then say CaughtUp
  bool from_snapshot = false;  // the whole list is asked for: what was written may not be all
};
using EndpointWatchMessage = std::variant<StartWatch, RedirectWatch, Resync>;
using EndpointWatchMailbox = runtime::Mailbox<EndpointWatchMessage>;

enum class ListenerCommandType { kDrain, kResume, kShutdown };
struct ListenerCommand {
  ListenerCommandType type = ListenerCommandType::kShutdown;
  bool has_successor = false;           // with kEnd: another process takes the clients
  std::shared_ptr<PendingReply> reply;  // null: nobody waits
};
using ListenerMailbox = runtime::Mailbox<ListenerCommand>;

// A backend as the decision actor sees it, whatever protocol it speaks.
class Backend {
 public:
  virtual ~Backend() = default;
  [[nodiscard]] virtual bool post(BackendMessage&& message) = 0;
};

}  // namespace beechhill::proxy
