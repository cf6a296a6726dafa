#include "proxy/backend_exchange.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string_view>
#include <utility>

#include "http/field_values.h"
#include "http/progress.h"
#include "runtime/time.h"

namespace beechhill::proxy {

using namespace std::chrono_literals;
using net::IoResult;
using runtime::Clock;
using runtime::now;
using runtime::Task;
using runtime::to_time_point;

namespace {

// Maximum time without progress when part of a streamed body is read or written.
constexpr auto kStreamTimeout = 5000ms;

// A response whose stated length exceeds http::kMaxBufferedBodyBytes is forwarded as it arrives
// once more than this many bytes of its body have been received.
constexpr std::size_t kFirstPartBytes = std::size_t{8} * 1024;

LoadReport load_report_of(const http::Headers& headers) {
  LoadReport report;
  if (const std::string* text = headers.find("Endpoint-Load-Metrics")) {
    report.utilization = http::find_load_value(*text, "cpu_share");
    report.requests_per_s = http::find_load_value(*text, "served_ps");
  }
  return report;
}

Result result_of(const http::Message& message) {
  if (message.status == 200) {
    return Result::kOk;
  }
  const std::string* never_ran = message.headers.find("X-Never-Ran");
  // Only X-Never-Ran proves that the request was not executed. Retrying after every 503 or 504
  // would add load to an overloaded tier.
  if ((message.status == 503 || message.status == 504) && never_ran && *never_ran == "1") {
    return Result::kOverloaded;
  }
  return Result::kError;
}

}  // namespace

Task<ExchangeResult> BackendExchange::run(Time write_deadline, Time deadline) {
  ++connection_.requests;
  const std::string bytes = payload_.encode(net::to_string(connection_.address), deadline - now());
  IoResult written = co_await connection_.stream->write(bytes, to_time_point(write_deadline));
  if (written == IoResult::kOk && payload_.remaining_body()) {
    written = co_await write_remaining_body();
    deadline = now() + attempt_->response_timeout;
  }
  if (written != IoResult::kOk) {  // The last byte was not sent, so the request was not executed.
    connection_.end_reason = EndReason::kReset;
    co_return std::move(result_);
  }
  const bool is_health_check = payload_.trace_id().empty();
  if (!is_health_check) {
    pool_.telemetry.count_upstream_request();
  }
  co_await receive(deadline);
  co_return std::move(result_);
}

// Writes the rest of a streamed request as fast as its client sends it. Any result other than kOk
// means that the last byte was not sent. Writing ends early if the backend closes the connection or
// responds before it has received the whole request.
Task<IoResult> BackendExchange::write_remaining_body() {
  net::Stream& stream = *connection_.stream;
  BodyPipe& pipe = *payload_.remaining_body();
  for (;;) {
    std::string bytes;
    const bool last = pipe.is_complete();
    if (!pipe.empty()) {
      bytes = payload_.frame_body(pipe.take());
    }
    if (last) {
      bytes += payload_.frame_body_end();
    }
    const IoResult io = co_await stream.write(bytes, Clock::now() + kStreamTimeout);
    if (io != IoResult::kOk || last) {
      co_return io;
    }
    if (pipe.is_aborted()) {
      co_return IoResult::kError;
    }
    if (!pipe.empty() || pipe.is_complete()) {
      continue;
    }
    std::string early_response;
    const IoResult early =
        co_await stream.read(early_response, Clock::now() + kStreamTimeout, &pipe.data_available());
    if (early != IoResult::kNotified && early != IoResult::kTimeout) {
      co_return IoResult::kError;
    }
  }
}

// Receives the response. Accepts only a complete response to this request. After anything else the
// request may have been executed, and the connection is not reused.
Task<> BackendExchange::receive(Time deadline) {
  const ReadOutcome outcome = co_await read_first_part(deadline);
  if (outcome == ReadOutcome::kFailed || !accept_response()) {
    co_return;
  }
  if (outcome == ReadOutcome::kStreaming) {
    if (!attempt_ || result_.result != Result::kOk) {  // The rest of the response is not needed.
      connection_.end_reason = EndReason::kMalformedResponse;
      co_return;
    }
    result_.response.content_length = parser_.length();
    if (!co_await stream_response()) {
      co_return;
    }
  }
  reusable_ = parser_.message().keep_alive() && buffer_.empty();
  connection_.end_reason =
      buffer_.empty() ? EndReason::kBackendClosed : EndReason::kMalformedResponse;
}

// Reads a complete response, or the head and first part of a streamed one.
Task<BackendExchange::ReadOutcome> BackendExchange::read_first_part(Time deadline) {
  bool started = false;
  for (;;) {
    const Time until = started ? std::min(deadline, now() + pool_.max_response_gap) : deadline;
    const IoResult io = co_await connection_.stream->read(buffer_, to_time_point(until));
    http::Progress progress = http::Progress::kNeedsMore;
    if (io == IoResult::kOk) {
      progress = parse_buffer();
    } else if (io == IoResult::kEof && parser_.head_done()) {
      progress = parser_.end();
    }
    if (progress == http::Progress::kComplete) {
      co_return ReadOutcome::kDone;
    }
    if (io != IoResult::kOk || progress == http::Progress::kMalformed) {
      record_failure(io, started);
      co_return ReadOutcome::kFailed;
    }
    if (streams_response_) {
      co_return ReadOutcome::kStreaming;
    }
    started = true;
  }
}

http::Progress BackendExchange::parse_buffer() {
  const http::Progress progress = parser_.feed_part(buffer_);
  const bool states_large = parser_.length().value_or(0) > http::kMaxBufferedBodyBytes;
  const std::size_t max_buffered = states_large ? kFirstPartBytes : http::kMaxBufferedBodyBytes;
  streams_response_ =
      progress == http::Progress::kNeedsMore && parser_.message().body.size() > max_buffered;
  return progress;
}

void BackendExchange::record_failure(IoResult io, bool response_started) {
  if (io == IoResult::kEof || io == IoResult::kError) {
    connection_.end_reason = EndReason::kReset;
    result_.result = Result::kReset;
  } else if (io == IoResult::kTimeout && !response_started) {
    connection_.end_reason = EndReason::kAttemptTimeout;
    result_.result = Result::kTimeout;
  } else {
    connection_.end_reason = EndReason::kMalformedResponse;
    result_.result = Result::kError;
  }
}

// Stores the response in `result_`. Returns false if the response belongs to another request.
bool BackendExchange::accept_response() {
  http::Message& message = parser_.message();
  const std::string_view trace_id = payload_.trace_id();
  const bool echoes_trace_id = !trace_id.empty() && message.body.starts_with(trace_id);
  // If the previous response on the connection began with its trace id and this one does not, this
  // one may be left over from an earlier request and must not be forwarded.
  if (message.status == 200 && !echoes_trace_id && connection_.echoes_trace_ids) {
    connection_.echoes_trace_ids = false;
    connection_.end_reason = EndReason::kMalformedResponse;
    result_.result = Result::kError;
    return false;
  }
  connection_.echoes_trace_ids = echoes_trace_id;
  result_.result = result_of(message);
  result_.load_report = load_report_of(message.headers);
  result_.response.body = std::move(message.body);
  if (const std::string* type = message.headers.find("Content-Type")) {
    result_.response.content_type = *type;
  }
  return true;
}

// Posts the outcome with the first part of a streamed response and forwards the rest until the
// response ends. The request's deadline does not limit the rest. Returns whether the response is
// complete.
Task<bool> BackendExchange::stream_response() {
  runtime::Notifier capacity;
  const auto pipe = std::make_shared<BodyPipe>(pool_.body_budget);
  const BodyPipe::WriterGuard writer_guard(pipe.get(), capacity);
  AttemptCompleted outcome{attempt_->request_id, attempt_->attempt_number, Result::kOk,
                           result_.load_report, std::move(result_.response)};
  outcome.response.remaining_body = pipe;
  result_.posted = true;
  DecisionMessage message(std::move(outcome));
  co_await post_reliably(scheduler_, decisions_, std::move(message));
  const http::Progress progress = co_await forward_body(*pipe, capacity);
  if (progress != http::Progress::kComplete) {
    connection_.end_reason =
        pipe->reader_closed() ? EndReason::kAttemptCancelled : EndReason::kMalformedResponse;
    co_return false;
  }
  pipe->finish();
  co_return true;
}

// Forwards the rest of the response body until it ends or the reader closes the pipe.
Task<http::Progress> BackendExchange::forward_body(BodyPipe& pipe, runtime::Notifier& capacity) {
  http::Progress progress = http::Progress::kNeedsMore;
  std::string bytes;
  while (!pipe.reader_closed()) {
    progress = parser_.feed_body(buffer_, bytes);
    if (progress == http::Progress::kMalformed) {
      break;
    }
    if (!bytes.empty()) {
      pipe.push(bytes);
    }
    if (progress == http::Progress::kComplete) {
      break;
    }
    if (pipe.full()) {
      runtime::Wait wait(scheduler_);
      wait.notified(capacity);
      co_await wait;
      continue;
    }
    const IoResult io =
        co_await connection_.stream->read(buffer_, Clock::now() + kStreamTimeout, &capacity);
    if (io == IoResult::kNotified || io == IoResult::kOk) {
      continue;
    }
    co_return io == IoResult::kEof ? parser_.end() : progress;
  }
  co_return progress;
}

}  // namespace beechhill::proxy
