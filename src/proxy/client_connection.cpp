#include "proxy/client_connection.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <variant>

#include "http/field_values.h"
#include "http/parser.h"
#include "http/progress.h"
#include "http/writer.h"
#include "log/log.h"
#include "proxy/client_response_encoder.h"

namespace beechhill::proxy {

using namespace std::chrono_literals;
using net::IoResult;
using runtime::Clock;
using runtime::now;
using runtime::Task;
using runtime::TimePoint;
using runtime::to_time_point;

namespace {

// Maximum time for which a connection may be idle between two requests.
constexpr auto kIdleTimeout = 10000ms;

// Maximum time until a new client sends its first byte.
constexpr auto kFirstByteTimeout = 1000ms;

// Maximum time from the first byte of a request to its last. It is extended by one millisecond for
// every kMinUploadRate bytes received; the slowest legitimate clients send 64 bytes per
// millisecond.
constexpr auto kRequestTimeout = 2500ms;
constexpr std::uint64_t kMinUploadRate = 32;

// Number of bytes per millisecond that a client receives at the least; the slowest legitimate
// clients receive 64 bytes per millisecond.
constexpr std::uint64_t kMinDownloadRate = 32;

// Maximum time for a client to receive a response, or a part of a streamed one.
constexpr auto kWriteTimeout = 5s;

// Maximum time for a client to close the connection after its last response.
constexpr Duration kLingerTimeout = 1s;

// Maximum time for bytes that a client has written to arrive, unless the proxy does not read.
constexpr auto kMaxRoundTrip = 10ms;

// A request is failed this long after its deadline if the decision actor has not responded.
constexpr Duration kResponseOverdue = 10ms;

// Number of buffered bytes of pipelined requests at which reading stops while another request is
// served.
constexpr std::size_t kMaxPipelinedBytes = http::kMaxHeadBytes + http::kMaxBufferedBodyBytes;

// Number of bytes of the input buffer that may be unused, so that small requests need no new
// memory.
constexpr std::size_t kMaxUnusedInputBytes = 1024;

bool is_health_check(const http::Message& message) {
  return message.method == "GET" && message.target == "/health/ready";
}

// Returns how long a client may take to receive a response. What has been written may still wait in
// the buffers of the sockets.
Duration max_download_time(std::uint64_t bytes) {
  return std::chrono::milliseconds(bytes / kMinDownloadRate);
}

bool is_uploading(const ClientRequest& request) {
  const BodyPipe* upload = request.payload->streamed_body().get();
  return upload && !upload->is_complete();
}

}  // namespace

ClientConnection::ClientConnection(ClientContext& context, net::FileDescriptor fd,
                                   const sockaddr_in& remote)
    : context_(context),
      slot_(context.descriptor_budget),
      remote_(net::to_string(remote)),
      stream_(context.scheduler, std::move(fd)),
      input_memory_(context.buffer_budget, BufferKind::kClientInput),
      position_(context.connections.insert(context.connections.end(), this)) {
  stream_.limit_reads(context.buffer_budget.max_read_bytes());
}

ClientConnection::~ClientConnection() {
  log_connection_end("front", remote_, end_reason_, requests_);
  context_.connections.erase(position_);
  context_.connection_closed.notify();
}

void ClientConnection::request_close(EndReason reason) {
  close_requested_ = true;
  close_reason_ = reason;
  wake_.notify();
}

void ClientConnection::enter_phase(Phase phase) {
  phase_ = phase;
  phase_started_at_ = Clock::now();
}

Task<> ClientConnection::serve() {
  for (bool open = true; open;) {
    http::Parser parser(http::Parser::Kind::kRequest);
    const ReadOutcome outcome = co_await read_request(parser);
    // No response is in transit between requests, so the connection is closed without lingering. A
    // request that arrives at the same time is not read; its client can detect that and retry the
    // request.
    if (outcome == ReadOutcome::kClosed) {
      co_return;
    }
    if (outcome == ReadOutcome::kRequest) {
      open = co_await answer_request(parser);
      if (open && !buffer_.empty()) {
        co_await yield_to_other_connections();
      }
      continue;
    }
    open = false;
    if (outcome == ReadOutcome::kMalformed) {
      co_await reject(parser.error_status(), EndReason::kBadRequest);
    } else if (outcome == ReadOutcome::kBuffersFull) {
      co_await reject(503, EndReason::kBuffersFull);
    } else {
      co_await reject(408, EndReason::kReadTimeout);
    }
  }
  enter_phase(Phase::kLingering);
  const bool evicted = close_requested_ && close_reason_ == EndReason::kEvicted;
  if (!evicted) {  // An evicted connection must free its descriptor at once.
    co_await lingering_close();
  }
}

// Lets other tasks run before the next pipelined request is served. Requests that are answered at
// once, such as health checks, would otherwise occupy the event loop as long as they arrive.
Task<> ClientConnection::yield_to_other_connections() {
  runtime::Wait wait(context_.scheduler);
  wait.until(Clock::now());
  co_await wait;
}

// Keeps the descriptor open until the client closes the connection or kLingerTimeout ends, because
// a reset could destroy a response in transit.
Task<> ClientConnection::lingering_close() {
  const TimePoint until =
      to_time_point(std::min(now() + kLingerTimeout, context_.lifecycle.response_deadline()));
  if (discard_input_) {
    co_await stream_.lingering_close(until, wake_);
  } else {
    co_await stream_.lingering_close_unread(until, wake_);
  }
}

// ---- Reading requests

// Reads a complete request, or the head and first part of one whose body is streamed because it
// exceeds http::kMaxBufferedBodyBytes. If the buffers are full, reading also ends early:
// answer_request() then rejects the request.
Task<ClientConnection::ReadOutcome> ClientConnection::read_request(http::Parser& parser) {
  received_bytes_ = buffer_.size();
  release_input_buffer();
  http::Progress progress = parse_buffer(parser);
  const bool started =
      progress != http::Progress::kNeedsMore || !buffer_.empty() || parser.head_done();
  const bool is_new = requests_ == 0 && !answered_health_check_;
  const Phase waiting = is_new ? Phase::kNew : Phase::kIdle;
  enter_phase(started ? Phase::kReading : waiting);
  request_started_at_ = phase_started_at_;
  bool expectation_handled = false;
  while (progress == http::Progress::kNeedsMore && !streams_body_) {
    if (parser.head_done() && !std::exchange(expectation_handled, true)) {
      const std::optional<ReadOutcome> rejected = co_await handle_expectation(parser.message());
      if (rejected) {
        co_return *rejected;
      }
    }
    const bool was_reading = phase_ == Phase::kReading;
    const TimePoint deadline = read_deadline();
    const std::size_t size_before = buffer_.size();
    const IoResult io = co_await stream_.read(buffer_, deadline, &wake_);
    if (io == IoResult::kNotified) {
      continue;
    }
    if (io != IoResult::kOk) {
      co_return end_of_input(io);
    }
    received_bytes_ += buffer_.size() - size_before;
    enter_phase(Phase::kReading);
    if (!was_reading) {
      request_started_at_ = phase_started_at_;
    }
    progress = parse_buffer(parser);
  }
  enter_phase(Phase::kActive);
  if (streams_body_ && !parser.head_done()) {
    co_return ReadOutcome::kBuffersFull;
  }
  // If the bytes after a request cannot begin another one, the request is rejected, because its
  // stated length is wrong.
  const bool followed_by_request =
      progress != http::Progress::kComplete || http::may_begin_request(buffer_);
  co_return progress == http::Progress::kMalformed || !followed_by_request ? ReadOutcome::kMalformed
                                                                           : ReadOutcome::kRequest;
}

http::Progress ClientConnection::parse_buffer(http::Parser& parser) {
  const http::Progress progress = parser.feed_part(buffer_);
  const http::Message& message = parser.message();
  input_memory_.set(buffer_.capacity() + message.memory_bytes());
  const bool too_large = message.body.size() > http::kMaxBufferedBodyBytes || may_not_grow();
  streams_body_ = progress == http::Progress::kNeedsMore && too_large;
  return progress;
}

// Whether the buffers are full and the request that is being received may not take more memory.
bool ClientConnection::may_not_grow() const {
  return !context_.buffer_budget.has_capacity() &&
         input_memory_.bytes() > BufferBudget::kGuaranteedBytes;
}

// Frees the memory of received bytes that have been parsed.
void ClientConnection::release_input_buffer() {
  if (buffer_.capacity() - buffer_.size() > kMaxUnusedInputBytes) {
    buffer_.shrink_to_fit();
  }
  input_memory_.set(buffer_.capacity());
}

// Responds to an Expect header, if there is one. Returns an outcome if the rest of the request must
// not be read.
Task<std::optional<ClientConnection::ReadOutcome>> ClientConnection::handle_expectation(
    const http::Message& message) {
  if (!message.headers.find("Expect")) {
    co_return std::nullopt;
  }
  if (!message.headers.has_token("Expect", "100-continue")) {
    co_return ReadOutcome::kMalformed;
  }
  const std::string bytes = "HTTP/1.1 100 Continue\r\n\r\n";
  if (co_await stream_.write(bytes, Clock::now() + kWriteTimeout) != IoResult::kOk) {
    end_reason_ = EndReason::kWriteFailed;
    co_return ReadOutcome::kClosed;
  }
  co_return std::nullopt;
}

// Returns when the current request must have arrived. Received bytes extend the time, so that a
// large body is in time if it arrives at kMinUploadRate or faster.
TimePoint ClientConnection::request_read_deadline() const {
  return request_started_at_ + kRequestTimeout +
         std::chrono::milliseconds(received_bytes_ / kMinUploadRate);
}

TimePoint ClientConnection::read_deadline() const {
  const bool reading = phase_ == Phase::kReading;
  // When the connection is to be closed, reads only bytes that have already arrived.
  if (close_requested_ && (!reading || close_reason_ == EndReason::kEvicted)) {
    return Clock::now();
  }
  if (reading) {
    return request_read_deadline();
  }
  return phase_started_at_ +
         (phase_ == Phase::kNew ? Clock::duration(kFirstByteTimeout) : kIdleTimeout);
}

ClientConnection::ReadOutcome ClientConnection::end_of_input(IoResult io) {
  const Phase phase = std::exchange(phase_, Phase::kActive);
  phase_started_at_ = Clock::now();
  if (io != IoResult::kTimeout) {
    end_reason_ = EndReason::kClientClosed;
    return ReadOutcome::kClosed;
  }
  if (close_requested_) {
    end_reason_ = close_reason_;
    return ReadOutcome::kClosed;
  }
  if (phase == Phase::kReading) {
    return ReadOutcome::kTimedOut;
  }
  end_reason_ = phase == Phase::kIdle ? EndReason::kIdle : EndReason::kReadTimeout;
  return ReadOutcome::kClosed;
}

// ---- Serving requests

// Whether the connection closes after the current response. If the next request has already been
// received, that request is answered first, unless the response deadline of the shutdown has
// passed.
bool ClientConnection::closes_after_response() const {
  const ListenerLifecycle& lifecycle = context_.lifecycle;
  return (close_requested_ || lifecycle.closes_after_response(accepted_at_, now())) &&
         (buffer_.empty() || now() >= lifecycle.response_deadline());
}

// Serves a request. Returns false if it was the connection's last request.
Task<bool> ClientConnection::answer_request(http::Parser& parser) {
  http::Message& message = parser.message();
  const bool close = !message.keep_alive();
  if (is_health_check(message)) {
    co_return co_await answer_health_check(close);
  }
  const bool client_decodes_chunks = message.minor_version >= 1;
  const bool over_budget = streams_body_ && !context_.buffer_budget.has_capacity();
  std::shared_ptr<BodyPipe> upload;
  if (streams_body_) {
    upload_clock_ = UploadClock(received_bytes_);
    upload = std::make_shared<BodyPipe>(context_.buffer_budget, BufferKind::kUpload);
  }
  const ClientRequestParser::ParsedRequest parsed = context_.request_parser.parse(
      message, parser.length(), upload, context_.lifecycle.response_deadline());
  if (const auto* error = std::get_if<RequestError>(&parsed)) {
    co_await reject(static_cast<int>(*error), EndReason::kBadRequest);
    co_return false;
  }
  ++requests_;
  const auto request = std::get<std::shared_ptr<ClientRequest>>(parsed);
  request->payload_memory = BufferBudget::Usage(context_.buffer_budget, BufferKind::kRequest,
                                                request->payload->memory_bytes());
  release_input_buffer();
  Telemetry::RequestScope scope(context_.telemetry, request->class_id);
  const BodyPipe::WriterGuard writer_guard(upload.get(), request->response_ready);
  DecisionMessage received(RequestReceived{request});
  if (over_budget || !context_.decisions.post(std::move(received))) {
    request->response = Rejection{};
  } else if (!co_await await_response(request, parser)) {
    co_return false;
  }
  // If the response is ready before the request's body is complete, the rest of the body must not
  // be parsed as a new request.
  discard_input_ = upload && !upload->is_complete();
  const bool last = close || discard_input_ || closes_after_response();
  // NOLINTNEXTLINE(bugprone-unchecked-optional-access): every path to this line sets `response`
  ClientResponse& response = *request->response;
  const Time response_started_at = now();
  response_bytes_ = 0;
  const bool open = co_await send_response(response, last, client_decodes_chunks, scope);
  request->trace_id.extend(response_started_at + max_download_time(response_bytes_));
  if (upload_blocked_ && end_reason_ == EndReason::kClosedAfterResponse) {
    end_reason_ = EndReason::kUploadBlocked;
  }
  co_return open;
}

Task<bool> ClientConnection::answer_health_check(bool close) {
  answered_health_check_ = true;
  const bool last = close || closes_after_response();
  const std::string bytes = http::write_response(context_.ready() ? 200 : 503, "", "", last);
  co_return co_await write_response(bytes, last);
}

// Waits for the response. Meanwhile detects a disconnect and forwards the rest of a streamed body.
// Returns false if the client has disconnected or its request was rejected.
Task<bool> ClientConnection::await_response(const std::shared_ptr<ClientRequest>& request,
                                            http::Parser& parser) {
  while (!request->response) {
    const bool uploading = is_uploading(*request);
    const WaitOutcome outcome = co_await await_progress(*request, parser);
    if (outcome == WaitOutcome::kPending) {
      continue;
    }
    if (outcome == WaitOutcome::kOverdue) {
      // The decision actor has not responded in time, and the request may have been executed.
      request->response = Failure{};
    } else if (outcome == WaitOutcome::kUploadBlocked) {
      // No backend has received the request's last byte, so the request was not executed.
      request->response = Rejection{};
      upload_blocked_ = true;
    }
    request->abandoned = !request->response;
    if (BodyPipe* upload = request->payload->streamed_body().get()) {
      upload->abort();
    }
    // Notifies the decision actor, so that the request neither stays queued nor is forwarded
    // although no client waits for its response.
    DecisionMessage abandoned(RequestAbandoned{request});
    co_await post_reliably(context_.scheduler, context_.decisions, std::move(abandoned));
    if (request->response) {
      break;
    }
    if (outcome == WaitOutcome::kMalformed) {
      co_await reject(uploading ? parser.error_status() : 400, EndReason::kBadRequest);
    } else if (outcome == WaitOutcome::kUploadTooSlow) {
      co_await reject(408, EndReason::kReadTimeout);
    } else {
      end_reason_ = EndReason::kClientDisconnected;
    }
    co_return false;
  }
  co_return true;
}

// Waits until the response is set, bytes from the client arrive, the client disconnects, or a time
// limit passes.
Task<ClientConnection::WaitOutcome> ClientConnection::await_progress(ClientRequest& request,
                                                                     http::Parser& parser) {
  const bool uploading = is_uploading(request);
  const bool blocked = !may_read(request);
  const TimePoint overdue =
      uploading ? request_read_deadline() : to_time_point(request.deadline + kResponseOverdue);
  IoResult io = IoResult::kNotified;
  if (blocked) {
    io = uploading ? co_await wait_while_blocked(request)
                   : co_await stream_.wait_for_peer_close(overdue, request.response_ready);
  } else {
    const std::size_t size_before = buffer_.size();
    const TimePoint started_at = Clock::now();
    io = co_await stream_.read(buffer_, overdue, &request.response_ready);
    received_bytes_ += buffer_.size() - size_before;
    upload_clock_.record_received(received_bytes_, Clock::now() - started_at >= kMaxRoundTrip);
    input_memory_.set(buffer_.capacity());
  }
  if (request.response || io == IoResult::kNotified) {
    co_return WaitOutcome::kPending;
  }
  if (io == IoResult::kTimeout && uploading) {
    co_return blocked ? WaitOutcome::kUploadBlocked : WaitOutcome::kUploadTooSlow;
  }
  if (io == IoResult::kTimeout) {
    co_return WaitOutcome::kOverdue;
  }
  if (io != IoResult::kOk) {
    co_return WaitOutcome::kDisconnected;
  }
  // If the bytes after a request cannot begin another one, the request is rejected, because its
  // stated length is wrong.
  if (uploading) {
    co_return forward_upload(request, parser);
  }
  co_return http::may_begin_request(buffer_) ? WaitOutcome::kPending : WaitOutcome::kMalformed;
}

// Waits while the backend does not accept more of the body, until the client may have waited for
// its response for as long as it does. Nothing is read, but a disconnect is still detected. The
// time does not count as the client's upload time.
Task<IoResult> ClientConnection::wait_while_blocked(ClientRequest& request) {
  const TimePoint started_at = Clock::now();
  const Duration time_left = request.client_timeout - upload_clock_.waited();
  const TimePoint until = to_time_point(std::min(request.deadline, now() + time_left));
  const IoResult io = co_await stream_.wait_for_peer_close(until, request.response_ready);
  const Clock::duration blocked = Clock::now() - started_at;
  request_started_at_ += blocked;
  upload_clock_.add_blocked(std::chrono::duration_cast<Duration>(blocked));
  co_return io;
}

// Whether there is memory for more of the request's body, or for pipelined requests.
bool ClientConnection::may_read(const ClientRequest& request) const {
  if (is_uploading(request)) {
    return !request.payload->streamed_body()->full();
  }
  const bool has_capacity = context_.buffer_budget.has_capacity();
  return buffer_.size() < (has_capacity ? kMaxPipelinedBytes : BufferBudget::kGuaranteedBytes);
}

// Moves received bytes of a streamed body into its pipe. Returns kMalformed if the body is
// malformed or its stated length is wrong, and kUploadBlocked if the body is complete too late.
ClientConnection::WaitOutcome ClientConnection::forward_upload(ClientRequest& request,
                                                               http::Parser& parser) {
  BodyPipe& upload = *request.payload->streamed_body();
  std::string bytes;
  const http::Progress progress = parser.feed_body(buffer_, bytes);
  if (!bytes.empty()) {
    upload.push(bytes);
  }
  release_input_buffer();
  if (progress == http::Progress::kNeedsMore) {
    return WaitOutcome::kPending;
  }
  if (progress == http::Progress::kMalformed || !http::may_begin_request(buffer_)) {
    return WaitOutcome::kMalformed;
  }
  const Duration time_left = request.client_timeout - upload_clock_.waited();
  if (time_left <= Duration{0}) {
    return WaitOutcome::kUploadBlocked;
  }
  request.arrived_at = now();
  request.deadline =
      std::min(request.arrived_at + time_left, context_.lifecycle.response_deadline());
  request.trace_id.extend(request.deadline + kTraceIdRetention);
  upload.finish();
  return WaitOutcome::kPending;
}

// ---- Sending responses

// Sends the response and counts the request's outcome. Returns whether the connection stays open.
Task<bool> ClientConnection::send_response(ClientResponse& response, bool close,
                                           bool client_decodes_chunks,
                                           Telemetry::RequestScope& scope) {
  auto* completed = std::get_if<BackendResponse>(&response);
  if (completed && completed->remaining_body) {
    const bool complete = co_await stream_response(*completed, close, client_decodes_chunks);
    if (end_reason_ != EndReason::kWriteFailed) {
      scope.end(complete ? RequestOutcome::kCompleted : RequestOutcome::kFailed);
    }
    co_return complete && !close && (client_decodes_chunks || completed->content_length);
  }
  const std::string bytes = encode_response(response, close);
  const bool open = co_await write_response(bytes, close);
  if (end_reason_ != EndReason::kWriteFailed) {
    scope.end(outcome_of(response));
  }
  co_return open;
}

// Forwards a streamed response, no faster than its client receives it. Returns false if the
// response ended early or could not be written; the connection is then closed before the body's
// end, which shows the client that the body is incomplete.
Task<bool> ClientConnection::stream_response(BackendResponse& response, bool close,
                                             bool client_decodes_chunks) {
  BodyPipe& pipe = *response.remaining_body;
  const BodyPipe::ReaderGuard reader_guard(pipe);
  const bool chunked = client_decodes_chunks && !response.content_length;
  // An empty part is not framed, as an empty chunk would end the body.
  const auto frame = [chunked](const std::string& bytes) {
    return chunked && !bytes.empty() ? http::write_chunk(bytes) : bytes;
  };
  std::string bytes =
      encode_stream_head(response, close, client_decodes_chunks) + frame(response.body);
  release_memory(response.body);
  for (;;) {
    const bool last = pipe.is_complete();
    if (!pipe.empty()) {
      bytes += frame(pipe.take());
    }
    if (last && chunked) {
      bytes += http::write_chunk({});
    }
    response_bytes_ += bytes.size();
    const IoResult io = co_await stream_.write(bytes, Clock::now() + kWriteTimeout);
    end_reason_ = io == IoResult::kOk ? EndReason::kClosedAfterResponse : EndReason::kWriteFailed;
    if (io != IoResult::kOk || last) {
      co_return io == IoResult::kOk;
    }
    release_memory(bytes);
    response.memory.set(0);
    pipe.release();
    if (!pipe.empty() || pipe.is_complete()) {
      continue;
    }
    if (pipe.is_aborted()) {
      co_return false;
    }
    runtime::Wait wait(context_.scheduler);
    wait.notified(pipe.data_available());
    co_await wait;
  }
}

// Returns whether the connection stays open.
Task<bool> ClientConnection::write_response(const std::string& bytes, bool close) {
  const IoResult io = co_await stream_.write(bytes, Clock::now() + kWriteTimeout);
  end_reason_ = io == IoResult::kOk ? EndReason::kClosedAfterResponse : EndReason::kWriteFailed;
  co_return io == IoResult::kOk && !close;
}

Task<> ClientConnection::reject(int status, EndReason reason) {
  const std::string bytes = http::write_response(status, "", "", true);
  discard_input_ = true;
  co_await write_response(bytes, true);
  end_reason_ = reason;
}

}  // namespace beechhill::proxy
