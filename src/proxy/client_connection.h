// A client's connection. It serves its requests one at a time, in the order in which they arrive.
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
#include "proxy/upload_clock.h"
#include "runtime/scheduler.h"
#include "runtime/time.h"

namespace beechhill::proxy {

class ClientConnection;

/// State shared by the connections of one listener. Must outlive them.
struct ClientContext {
  runtime::Scheduler& scheduler;
  DecisionMailbox& decisions;
  Telemetry& telemetry;
  BufferBudget& buffer_budget;
  DescriptorBudget descriptor_budget;
  ListenerLifecycle lifecycle;
  ClientRequestParser request_parser;
  /// Returns whether there are endpoints to which requests can be sent.
  std::function<bool()> has_endpoints;
  /// All open connections.
  std::list<ClientConnection*> connections;
  runtime::Notifier connection_closed;

  /// Whether the readiness check succeeds, so that new clients are routed to this process.
  bool ready() const { return lifecycle.is_ready() && has_endpoints(); }
};

/// A client's connection. Registers itself with its context and logs its end.
class ClientConnection {
 public:
  ClientConnection(ClientContext& context, net::FileDescriptor fd, const sockaddr_in& remote);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /// What the connection is doing. The phases that allow eviction come first, in the order in which
  /// connections are evicted; kActive does not allow it.
  enum class Phase {
    /// Accepted, and no byte has been received.
    kNew,
    /// The last response has been sent, and the client has not closed the connection yet.
    kLingering,
    /// Waiting for the next request.
    kIdle,
    /// Part of a request has been received.
    kReading,
    /// A response is outstanding, or the connection is being closed.
    kActive,
  };
  /// Number of phases in which a connection may be evicted, all those before kActive.
  static constexpr std::size_t kEvictablePhases = static_cast<std::size_t>(Phase::kActive);

  /// Serves requests until the connection ends.
  runtime::Task<> serve();

  Phase phase() const { return close_requested_ ? Phase::kActive : phase_; }
  runtime::TimePoint phase_started_at() const { return phase_started_at_; }

  /// Closes the connection once no response is outstanding. A request that has arrived completely
  /// is still answered. Unless `reason` is kEvicted, the rest of a request that has arrived in part
  /// is still read, and the request is answered.
  void request_close(EndReason reason);

 private:
  enum class ReadOutcome { kRequest, kMalformed, kTimedOut, kBuffersFull, kClosed };
  enum class WaitOutcome {
    kPending,
    kOverdue,
    kMalformed,
    kUploadTooSlow,
    /// The backend has not taken the body in time.
    kUploadBlocked,
    kDisconnected
  };

  void enter_phase(Phase phase);
  runtime::Task<> yield_to_other_connections();
  runtime::Task<> lingering_close();

  runtime::Task<ReadOutcome> read_request(http::Parser& parser);
  http::Progress parse_buffer(http::Parser& parser);
  bool may_not_grow() const;
  void release_input_buffer();
  runtime::Task<std::optional<ReadOutcome>> handle_expectation(const http::Message& message);
  runtime::TimePoint read_deadline() const;
  runtime::TimePoint request_read_deadline() const;
  ReadOutcome end_of_input(net::IoResult io);

  runtime::Task<bool> answer_request(http::Parser& parser);
  runtime::Task<bool> answer_health_check(bool close);
  runtime::Task<bool> await_response(const std::shared_ptr<ClientRequest>& request,
                                     http::Parser& parser);
  runtime::Task<WaitOutcome> await_progress(ClientRequest& request, http::Parser& parser);
  bool may_read(const ClientRequest& request) const;
  runtime::Task<net::IoResult> wait_while_blocked(ClientRequest& request);
  WaitOutcome forward_upload(ClientRequest& request, http::Parser& parser);
  bool closes_after_response() const;

  runtime::Task<bool> send_response(ClientResponse& response, bool close,
                                    bool client_decodes_chunks, Telemetry::RequestScope& scope);
  runtime::Task<bool> stream_response(BackendResponse& response, bool close,
                                      bool client_decodes_chunks);
  runtime::Task<bool> write_response(const std::string& bytes, bool close);
  runtime::Task<> reject(int status, EndReason reason);

  ClientContext& context_;
  DescriptorBudget::Slot slot_;
  std::string remote_;
  net::Stream stream_;
  /// Received bytes that have not been parsed yet; may include pipelined requests.
  std::string buffer_;
  /// The memory of `buffer_` and of a request that has been received in part.
  BufferBudget::Usage input_memory_;
  runtime::Notifier wake_;
  bool close_requested_ = false;
  EndReason close_reason_ = EndReason::kEvicted;
  bool answered_health_check_ = false;
  /// Whether the request is too large to be buffered as a whole. Its body is forwarded as it
  /// arrives or, if the buffers are full, the request is rejected.
  bool streams_body_ = false;
  /// Whether further input is discarded, because it may belong to the body of a request that has
  /// already been answered.
  bool discard_input_ = false;
  /// Whether the current request was rejected because the backend did not take its body in time.
  bool upload_blocked_ = false;
  /// When the first byte of the current request was received.
  runtime::TimePoint request_started_at_{};
  /// Number of bytes of the current streamed response that have been written so far.
  std::uint64_t response_bytes_ = 0;
  /// Number of bytes of the current request that have been received so far.
  std::uint64_t received_bytes_ = 0;
  /// How long the client may have been waiting for the response to the current request, while its
  /// body is streamed.
  UploadClock upload_clock_;
  Phase phase_ = Phase::kNew;
  runtime::TimePoint phase_started_at_ = runtime::Clock::now();
  EndReason end_reason_ = EndReason::kFault;
  std::uint64_t requests_ = 0;
  const Time accepted_at_ = runtime::now();
  std::list<ClientConnection*>::iterator position_;
};

}  // namespace beechhill::proxy
