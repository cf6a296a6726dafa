#include "proxy/backend_exchange.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string_view>
#include <utility>

#include "http/field_values.h"
#include "http/progress.h"
#include "proxy/trace_id_echo.h"
#include "runtime/time.h"

namespace beechhill::proxy {

using namespace std::chrono_literals;
using net::IoResult;
using runtime::Clock;
using runtime::now;
using runtime::Task;
using runtime::TimePoint;
using runtime::to_time_point;

namespace {

// Maximum time without progress when part of a streamed body is read or written.
constexpr auto kStreamTimeout = 5000ms;

// A response whose stated length exceeds http::kMaxBufferedBodyBytes is forwarded as it arrives
// once more than this many bytes of its body have been received.
constexpr std::size_t kFirstPartBytes = std::size_t{8} * 1024;

constexpr int kOkStatus = 200;

LoadReport load_report_of(const http::Headers& headers) {
  LoadReport report;
  if (const std::string* text = headers.find("Endpoint-Load-Metrics")) {
    report.utilization = http::find_load_value(*text, "cpu_share");
    report.requests_per_s = http::find_load_value(*text, "served_ps");
  }
  return report;
}

Result result_of(const http::Message& message) {
  if (message.status == kOkStatus) {
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
  if (connection_.last_response_at) {
    result_.timing.reused_after =
        std::chrono::duration_cast<Duration>(Clock::now() - *connection_.last_response_at);
  }
  const TimePoint started_at = Clock::now();
  const IoResult written = co_await write_request(write_deadline, deadline);
  if (written != IoResult::kOk) {  // The last byte was not sent, so the request was not executed.
    connection_.end_reason = EndReason::kReset;
    co_return std::move(result_);
  }
  const bool is_health_check = payload_.trace_id().empty();
  if (!is_health_check) {
    pool_.telemetry.count_upstream_request();
  }
  if (payload_.streamed_body()) {
    deadline = attempt_->request->deadline;
  }
  written_at_ = Clock::now();
  result_.timing.written_after = std::chrono::duration_cast<Duration>(written_at_ - started_at);
  co_await receive(deadline);
  if (reusable_) {
    connection_.last_response_at = Clock::now();
  }
  co_return std::move(result_);
}

// Writes the request. Any result other than kOk means that the last byte was not sent.
Task<IoResult> BackendExchange::write_request(Time write_deadline, Time deadline) {
  net::Stream& stream = *connection_.stream;
  const std::string head = payload_.encode(net::to_string(connection_.address), deadline - now());
  output_memory_.set(head.capacity());
  IoResult written = co_await stream.write(head, to_time_point(write_deadline));
  const std::string_view body = payload_.body();
  if (written == IoResult::kOk && !body.empty()) {
    written = co_await stream.write(body, to_time_point(write_deadline));
  }
  if (written == IoResult::kOk && payload_.streamed_body()) {
    written = co_await write_streamed_body(write_deadline);
  }
  output_memory_.set(0);
  co_return written;
}

// Writes a streamed body as fast as its client sends it. Any result other than kOk means that the
// last byte was not sent. Writing ends early if the backend closes the connection or responds
// before it has received the whole request. If not even the first part can be written, it is put
// back, so that another attempt can send it.
Task<IoResult> BackendExchange::write_streamed_body(Time write_deadline) {
  BodyPipe& pipe = *payload_.streamed_body();
  TimePoint part_deadline = std::min(to_time_point(write_deadline), Clock::now() + kStreamTimeout);
  for (bool is_first = !pipe.reading_started();; is_first = false) {
    const bool last = pipe.is_complete();
    if (last) {
      part_deadline = std::min(part_deadline, to_time_point(attempt_->request->deadline));
    }
    std::string part = pipe.take();
    const IoResult io = co_await write_body_part(part, last, part_deadline);
    if (io != IoResult::kOk && is_first) {
      pipe.put_back(std::move(part));
    }
    release_memory(part);
    pipe.release();
    if (io != IoResult::kOk || last) {
      co_return io;
    }
    if (pipe.is_aborted()) {
      co_return IoResult::kError;
    }
    if (co_await await_body_part(pipe) != IoResult::kOk) {
      co_return IoResult::kError;
    }
    part_deadline = Clock::now() + kStreamTimeout;
  }
}

// Writes a part of a streamed body, and the body's end behind the last part.
Task<IoResult> BackendExchange::write_body_part(const std::string& part, bool last,
                                                TimePoint deadline) {
  std::string framed;
  if (payload_.frames_body() && !part.empty()) {
    framed = payload_.frame_body(part);
  }
  if (last) {
    framed += payload_.frame_body_end();
  }
  output_memory_.set(framed.capacity());
  const std::string_view bytes = framed.empty() ? std::string_view(part) : framed;
  const IoResult io = co_await connection_.stream->write(bytes, deadline);
  output_memory_.set(0);
  co_return io;
}

// Waits until the pipe has a part or its end. Any result other than kOk means that the backend has
// closed the connection or responded.
Task<IoResult> BackendExchange::await_body_part(BodyPipe& pipe) {
  while (pipe.empty() && !pipe.is_complete() && !pipe.is_aborted()) {
    std::string early_response;
    const IoResult early = co_await connection_.stream->read(
        early_response, Clock::now() + kStreamTimeout, &pipe.data_available());
    if (early != IoResult::kNotified && early != IoResult::kTimeout) {
      co_return IoResult::kError;
    }
  }
  co_return IoResult::kOk;
}

// Receives the response. Accepts only a complete response to this request. After anything else the
// request may have been executed, and the connection is not reused.
Task<> BackendExchange::receive(Time deadline) {
  const ReadOutcome outcome = co_await read_first_part(deadline);
  const bool streaming = outcome == ReadOutcome::kStreaming;
  if (outcome == ReadOutcome::kFailed || !accept_response(streaming)) {
    co_return;
  }
  if (streaming) {
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
  connection_.end_reason = EndReason::kBackendClosed;
  if (!buffer_.empty()) {
    pool_.settling_time.report_unsolicited_bytes(Clock::now());
    connection_.end_reason = EndReason::kMalformedResponse;
  }
}

// Reads a complete response, or the head and first part of a streamed one.
Task<BackendExchange::ReadOutcome> BackendExchange::read_first_part(Time deadline) {
  FirstPartWait wait(deadline, pool_.max_response_gap, pool_.max_response_hold);
  for (;;) {
    const ResponsePart part = received_part();
    const Time wait_started_at = now();
    const FirstPartWait::Until until = wait.until(part, wait_started_at);
    const IoResult io = co_await connection_.stream->read(buffer_, to_time_point(until.time));
    if (part != ResponsePart::kNothing) {
      result_.timing.longest_gap = std::max(result_.timing.longest_gap, now() - wait_started_at);
    }
    http::Progress progress = http::Progress::kNeedsMore;
    if (io == IoResult::kOk) {
      record_first_byte();
      progress = parse_buffer();
      input_memory_.set(buffer_.capacity() + parser_.message().memory_bytes());
    } else if (io == IoResult::kEof && parser_.head_done()) {
      progress = parser_.end();
    }
    result_.timing.body_bytes = parser_.message().body.size();
    if (progress == http::Progress::kComplete) {
      co_return ReadOutcome::kDone;
    }
    const bool held_long_enough = io == IoResult::kTimeout && until.limit == WaitLimit::kHold;
    if (streams_response_ || held_long_enough) {
      co_return ReadOutcome::kStreaming;
    }
    if (io != IoResult::kOk || progress == http::Progress::kMalformed) {
      record_failure(io, part, until.limit);
      co_return ReadOutcome::kFailed;
    }
  }
}

ResponsePart BackendExchange::received_part() const {
  if (!parser_.head_done()) {
    return buffer_.empty() ? ResponsePart::kNothing : ResponsePart::kHead;
  }
  const std::uint64_t length = parser_.length().value_or(UINT64_MAX);
  return length <= http::kMaxBufferedBodyBytes ? ResponsePart::kShortBody : ResponsePart::kLongBody;
}

void BackendExchange::record_first_byte() {
  if (!result_.timing.first_byte_after) {
    result_.timing.first_byte_after =
        std::chrono::duration_cast<Duration>(Clock::now() - written_at_);
  }
}

http::Progress BackendExchange::parse_buffer() {
  const http::Progress progress = parser_.feed_part(buffer_);
  streams_response_ =
      progress == http::Progress::kNeedsMore && parser_.message().body.size() > max_buffered_body();
  return progress;
}

// Returns the size in bytes above which a response is forwarded as it arrives.
std::size_t BackendExchange::max_buffered_body() const {
  if (!pool_.buffer_budget.has_capacity()) {
    return BufferBudget::kGuaranteedBytes;
  }
  const bool states_large = parser_.length().value_or(0) > http::kMaxBufferedBodyBytes;
  return states_large ? kFirstPartBytes : http::kMaxBufferedBodyBytes;
}

void BackendExchange::record_failure(IoResult io, ResponsePart part, WaitLimit limit) {
  result_.result = Result::kError;
  if (io == IoResult::kEof || io == IoResult::kError) {
    connection_.end_reason = EndReason::kReset;
    result_.result = Result::kReset;
  } else if (io != IoResult::kTimeout) {
    connection_.end_reason = EndReason::kMalformedResponse;
  } else if (limit == WaitLimit::kGap) {
    connection_.end_reason = EndReason::kResponseStalled;
  } else {
    connection_.end_reason = EndReason::kAttemptTimeout;
    if (part == ResponsePart::kNothing) {
      result_.result = Result::kTimeout;
    }
  }
}

// Stores the response in `result_`. Returns false if the response belongs to another request. If
// the response is streamed and too little of its body has been received to decide that, the rest is
// verified by forward_body().
bool BackendExchange::accept_response(bool streaming) {
  http::Message& message = parser_.message();
  const TraceIdEcho echo = find_trace_id_echo(message.body, payload_.trace_id());
  const bool must_echo = message.status == kOkStatus && connection_.echoes_trace_ids;
  if (must_echo && streaming && echo == TraceIdEcho::kUndetermined) {
    unverified_body_ = std::exchange(message.body, {});
  } else if (must_echo && echo != TraceIdEcho::kPresent) {
    reject_foreign_response();
    return false;
  } else {
    connection_.echoes_trace_ids = echo == TraceIdEcho::kPresent;
  }
  result_.result = result_of(message);
  result_.load_report = load_report_of(message.headers);
  result_.response.body = std::move(message.body);
  if (const std::string* type = message.headers.find("Content-Type")) {
    result_.response.content_type = *type;
  }
  result_.response.memory = BufferBudget::Usage(pool_.buffer_budget, BufferKind::kResponse,
                                                result_.response.body.capacity());
  release_input();
  return true;
}

// If the previous response on the connection began with its trace id and this one does not, this
// one may be left over from an earlier request and must not be forwarded.
void BackendExchange::reject_foreign_response() {
  connection_.echoes_trace_ids = false;
  connection_.end_reason = EndReason::kMalformedResponse;
  result_.result = Result::kError;
}

// Frees the memory of the bytes that have been parsed.
void BackendExchange::release_input() {
  buffer_.shrink_to_fit();
  input_memory_.set(buffer_.capacity() + parser_.message().memory_bytes());
}

// Posts the outcome with the first part of a streamed response and forwards the rest until the
// response ends. The request's deadline does not limit the rest. Returns whether the response is
// complete.
Task<bool> BackendExchange::stream_response() {
  runtime::Notifier capacity;
  const auto pipe = std::make_shared<BodyPipe>(pool_.buffer_budget, BufferKind::kDownload);
  const BodyPipe::WriterGuard writer_guard(pipe.get(), capacity);
  AttemptCompleted outcome{attempt_->request_id, attempt_->attempt_number, Result::kOk,
                           result_.load_report, std::move(result_.response)};
  outcome.response.remaining_body = pipe;
  result_.posted = true;
  DecisionMessage message(std::move(outcome));
  co_await post_reliably(scheduler_, decisions_, std::move(message));
  connection_.end_reason = EndReason::kMalformedResponse;
  const http::Progress progress = co_await forward_body(*pipe, capacity);
  if (progress != http::Progress::kComplete) {
    if (pipe->reader_closed()) {
      connection_.end_reason = EndReason::kAttemptCancelled;
    }
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
    release_input();
    if (progress == http::Progress::kMalformed) {
      break;
    }
    if (!verify_trace_id(bytes, progress)) {
      reject_foreign_response();
      co_return http::Progress::kMalformed;
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
    if (io == IoResult::kTimeout) {
      connection_.end_reason = EndReason::kResponseStalled;
    }
    co_return io == IoResult::kEof ? parser_.end() : progress;
  }
  co_return progress;
}

// Holds `bytes` back until they are known to begin with the trace id, if accept_response() could
// not decide that. Returns false if they do not.
bool BackendExchange::verify_trace_id(std::string& bytes, http::Progress progress) {
  if (!unverified_body_) {
    return true;
  }
  unverified_body_->append(std::exchange(bytes, {}));
  const TraceIdEcho echo = find_trace_id_echo(*unverified_body_, payload_.trace_id());
  if (echo == TraceIdEcho::kUndetermined && progress != http::Progress::kComplete) {
    return true;
  }
  if (echo != TraceIdEcho::kPresent) {
    return false;
  }
  bytes = std::move(*unverified_body_);
  unverified_body_.reset();
  return true;
}

}  // namespace beechhill::proxy
