// Sends one request to a backend on an established connection and receives the response.
#pragma once

#include <optional>
#include <string>

#include "http/message.h"
#include "http/parser.h"
#include "http/progress.h"
#include "net/socket.h"
#include "proxy/backend_messages.h"
#include "proxy/backend_pool.h"
#include "proxy/decision_messages.h"
#include "proxy/first_part_wait.h"
#include "proxy/idle_connections.h"
#include "runtime/task.h"

namespace beechhill::proxy {

/// When an exchange took place, relative to the previous one on its connection.
struct ExchangeTiming {
  /// Time from the end of the previous response to the request; empty on a new connection.
  std::optional<Duration> reused_after;
  /// Time that writing the request took; empty if its last byte was not written.
  std::optional<Duration> written_after;
  /// Time from the request's last byte to the response's first one; empty if there was no response.
  std::optional<Duration> first_byte_after;
  /// The longest time without a byte while the response, or the first part of a streamed one, was
  /// being received.
  Duration longest_gap{0};
  /// Number of bytes of the body that had been received when the attempt's outcome was determined.
  std::size_t body_bytes = 0;
};

/// The outcome of an attempt or a health check.
struct ExchangeResult {
  Result result = Result::kConnectFailed;
  LoadReport load_report;
  BackendResponse response;
  ExchangeTiming timing;
  /// Whether the outcome has already been posted to the decision actor, along with the first part
  /// of a streamed response.
  bool posted = false;
};

/// One request and its response on a connection. run() must be called exactly once. The
/// constructor's arguments, including `*attempt`, must outlive the call.
class BackendExchange {
 public:
  /// `attempt` identifies the attempt whose outcome is posted to `decisions` when a streamed
  /// response begins; null for a health check.
  BackendExchange(runtime::Scheduler& scheduler, DecisionMailbox& decisions, BackendPool& pool,
                  BackendConnection& connection, const Payload& payload,
                  const AttemptRequest* attempt)
      : scheduler_(scheduler),
        decisions_(decisions),
        pool_(pool),
        connection_(connection),
        payload_(payload),
        attempt_(attempt),
        input_memory_(pool.buffer_budget, BufferKind::kBackendInput),
        output_memory_(pool.buffer_budget, BufferKind::kBackendOutput) {}

  /// The request, or the first part of a streamed one, must be written by `write_deadline`. The
  /// response, or the first part of a streamed one, must be received by `deadline`. For a streamed
  /// request, the deadline of the client's request applies instead, which is known once the body is
  /// complete.
  runtime::Task<ExchangeResult> run(Time write_deadline, Time deadline);

  /// Whether the connection can carry another request after run().
  bool connection_is_reusable() const { return reusable_; }

 private:
  enum class ReadOutcome { kDone, kStreaming, kFailed };

  runtime::Task<net::IoResult> write_request(Time write_deadline, Time deadline);
  runtime::Task<net::IoResult> write_streamed_body(Time write_deadline);
  runtime::Task<net::IoResult> write_body_part(const std::string& part, bool last,
                                               runtime::TimePoint deadline);
  runtime::Task<net::IoResult> await_body_part(BodyPipe& pipe);
  runtime::Task<> receive(Time deadline);
  runtime::Task<ReadOutcome> read_first_part(Time deadline);
  void record_first_byte();
  http::Progress parse_buffer();
  std::size_t max_buffered_body() const;
  void release_input();
  ResponsePart received_part() const;
  void record_failure(net::IoResult io, ResponsePart part, WaitLimit limit);
  bool accept_response(bool streaming);
  void reject_foreign_response();
  runtime::Task<bool> stream_response();
  runtime::Task<http::Progress> forward_body(BodyPipe& pipe, runtime::Notifier& capacity);
  bool verify_trace_id(std::string& bytes, http::Progress progress);

  runtime::Scheduler& scheduler_;
  DecisionMailbox& decisions_;
  BackendPool& pool_;
  BackendConnection& connection_;
  const Payload& payload_;
  const AttemptRequest* attempt_;
  ExchangeResult result_;
  std::string buffer_;
  /// The memory of `buffer_` and of the response that `parser_` holds.
  BufferBudget::Usage input_memory_;
  BufferBudget::Usage output_memory_;
  http::Parser parser_{http::Parser::Kind::kResponse};
  /// Whether more of the response has been received than is buffered, so that it is forwarded as it
  /// arrives.
  bool streams_response_ = false;
  /// The beginning of a streamed body that is not yet known to begin with the trace id; shorter
  /// than the trace id. Empty if there is nothing to verify.
  std::optional<std::string> unverified_body_;
  bool reusable_ = false;
  runtime::TimePoint written_at_{};
};

}  // namespace beechhill::proxy
