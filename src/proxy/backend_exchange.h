// One request and its response on an established connection to a backend.
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
#include "proxy/idle_connections.h"
#include "runtime/task.h"

namespace beechhill::proxy {

/// The outcome of an attempt or a health check.
struct ExchangeResult {
  Result result = Result::kConnectFailed;
  LoadReport load_report;
  BackendResponse response;
  /// The outcome has been posted already, with the first part of a streamed response.
  bool posted = false;
};

/// Runs once. Nothing that it refers to may end before it.
class BackendExchange {
 public:
  /// `attempt`: whose outcome may be posted before the response's end; null for a health check.
  BackendExchange(runtime::Scheduler& scheduler, DecisionMailbox& decisions, BackendPool& pool,
                  BackendConnection& connection, const Payload& payload,
                  const AttemptRequest* attempt)
      : scheduler_(scheduler),
        decisions_(decisions),
        pool_(pool),
        connection_(connection),
        payload_(payload),
        attempt_(attempt) {}

  /// `write_deadline`: for the request's last byte, unless its body is streamed. `deadline`: for
  /// the response.
  runtime::Task<ExchangeResult> run(Time write_deadline, Time deadline);

  /// Whether the connection may carry another request.
  bool connection_is_reusable() const { return reusable_; }

 private:
  enum class ReadOutcome { kDone, kStreaming, kFailed };

  runtime::Task<net::IoResult> write_remaining_body();
  runtime::Task<> receive(Time deadline);
  runtime::Task<ReadOutcome> read_first_part(Time deadline);
  http::Progress parse_buffer();
  void record_failure(net::IoResult io, bool response_started);
  bool take_response();
  runtime::Task<bool> stream_response();
  runtime::Task<http::Progress> forward_body(BodyPipe& pipe, runtime::Notifier& capacity);

  runtime::Scheduler& scheduler_;
  DecisionMailbox& decisions_;
  BackendPool& pool_;
  BackendConnection& connection_;
  const Payload& payload_;
  const AttemptRequest* attempt_;
  ExchangeResult result_;
  std::string buffer_;
  http::Parser parser_{http::Parser::Kind::kResponse};
  /// The response is too large to be buffered.
  bool streams_response_ = false;
  bool reusable_ = false;
};

}  // namespace beechhill::proxy
