// One client's connection: one request at a time, each answered before the next is read.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "http/message.h"
#include "http/parser.h"
#include "http/progress.h"
#include "net/socket.h"
#include "proxy/client_request_parser.h"
#include "proxy/connection_log.h"
#include "proxy/decision_messages.h"
#include "proxy/descriptor_budget.h"
#include "proxy/listener_lifecycle.h"
#include "proxy/telemetry.h"
#include "runtime/scheduler.h"
#include "runtime/time.h"

namespace beechhill::proxy {

class ClientConnection;

/// What the connections of one listener share. It outlives them.
struct ClientContext {
  runtime::Scheduler& scheduler;
  DecisionMailbox& decisions;
  Telemetry& telemetry;
  BodyBudget& body_budget;
  DescriptorBudget descriptor_budget;
  ListenerLifecycle lifecycle;
  ClientRequestParser request_parser;
  /// Whether there are endpoints to send requests to.
  std::function<bool()> has_endpoints;
  /// The open ones.
  std::list<ClientConnection*> connections;
  runtime::Notifier connection_closed;

  /// Whether new clients should come here.
  bool ready() const { return lifecycle.is_ready() && has_endpoints(); }
};

/// Registers itself with its context, and logs its end.
class ClientConnection {
 public:
  ClientConnection(ClientContext& context, net::FileDescriptor fd, const sockaddr_in& remote);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /// In the order of eviction, but for kActive.
  enum class Phase {
    /// Accepted; no byte has arrived.
    kNew,
    /// After the last response, until the client closes.
    kLingering,
    /// Between two requests.
    kIdle,
    /// Part of a request has arrived.
    kReading,
    /// A response is owed, or the connection is being closed.
    kActive,
  };
  /// Phases from which a connection may be evicted.
  static constexpr std::size_t kEvictablePhases = static_cast<std::size_t>(Phase::kActive);

  /// Serves requests until the connection's end.
  runtime::Task<> serve();

  Phase phase() const { return close_requested_ ? Phase::kActive : phase_; }
  runtime::TimePoint phase_started_at() const { return phase_started_at_; }

  /// Closes the connection as soon as no response is owed. A request that has arrived by then is
  /// still answered.
  void request_close(EndReason reason);

 private:
  enum class ReadOutcome { kRequest, kMalformed, kTimedOut, kClosed };
  enum class WaitOutcome { kPending, kOverdue, kMalformed, kUploadTooSlow, kDisconnected };

  void enter(Phase phase);
  runtime::Task<> lingering_close();

  runtime::Task<ReadOutcome> read_request(http::Parser& parser);
  http::Progress parse_buffer(http::Parser& parser);
  runtime::Task<std::optional<ReadOutcome>> handle_expectation(const http::Message& message);
  runtime::TimePoint read_deadline() const;
  runtime::TimePoint request_read_deadline() const;
  ReadOutcome end_of_input(net::IoResult io);

  runtime::Task<bool> answer_request(http::Parser& parser);
  runtime::Task<bool> answer_health_check(bool close);
  runtime::Task<bool> await_response(const std::shared_ptr<ClientRequest>& request,
                                     http::Parser& parser);
  runtime::Task<WaitOutcome> await_progress(ClientRequest& request, http::Parser& parser);
  bool forward_upload(ClientRequest& request, http::Parser& parser);
  bool closes_after_response() const;

  runtime::Task<bool> send_response(const ClientResponse& response, bool close,
                                    bool client_decodes_chunks, Telemetry::RequestScope& scope);
  runtime::Task<bool> stream_response(const BackendResponse& response, bool close,
                                      bool client_decodes_chunks);
  runtime::Task<bool> write_response(const std::string& bytes, bool close);
  runtime::Task<> reject(int status, EndReason reason);

  ClientContext& context_;
  DescriptorBudget::Slot slot_;
  std::string remote_;
  net::Stream stream_;
  /// Bytes read and not used yet: the next request may arrive early.
  std::string buffer_;
  runtime::Notifier wake_;
  bool close_requested_ = false;
  EndReason close_reason_ = EndReason::kEvicted;
  bool answered_health_check_ = false;
  /// The request's body is too large to be buffered, and is passed on as it arrives.
  bool streams_body_ = false;
  /// What still arrives cannot be told from a rejected request's body: it is read and discarded.
  bool discard_input_ = false;
  /// When the request's first byte arrived.
  runtime::TimePoint request_started_at_{};
  std::uint64_t received_bytes_ = 0;  // of the request
  Phase phase_ = Phase::kNew;
  runtime::TimePoint phase_started_at_ = runtime::Clock::now();
  EndReason end_reason_ = EndReason::kFault;
  std::uint64_t requests_ = 0;
  const Time accepted_at_ = runtime::now();
  std::list<ClientConnection*>::iterator position_;
};

}  // namespace beechhill::proxy
