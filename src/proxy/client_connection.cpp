#include "proxy/client_connection.h"

#include <algorithm>
#include <array>
#include <system_error>
#include <utility>

#include "http/field_values.h"
#include "http/writer.h"
#include "log/log.h"

namespace beechhill::proxy {

using namespace std::chrono_literals;
using net::Io;
using runtime::Clock;
using runtime::Task;
using runtime::TimePoint;

namespace {

constexpr auto kIdleLimit = 10000ms;   // between a client's requests
constexpr auto kSilentLimit = 1000ms;  // for a new client's first byte
constexpr auto kRequestLimit =
    2500ms;  // for a request to arrive, from its first byte, and more for its length:
constexpr std::uint64_t kLeastRate = 32;  // bytes a millisecond; a slow client writes 64
constexpr auto kUploadGuess = 60s;        // for a large body to come, as the module is told
constexpr auto kSilentAge = 30ms;  // when descriptors are short: a usual client has spoken by then
constexpr auto kSpeaksWithin = 100ms;  // when the program ends: a new client that will speak at all
constexpr auto kKeptAge = 250ms;       // the same, while there may be silent ones: between requests
constexpr auto kHalfSpokenAge = 500ms;  // the same, for the rest of its request
constexpr auto kWriteLimit = 5s;        // for a client to take its answer
constexpr Duration kLingerLimit = 1s;   // for a client to close after the last answer
constexpr auto kAcceptPause = 20ms;     // when descriptors are short
constexpr auto kAcceptCheck = 200ms;    // how often the door looks whether it is to close
constexpr std::size_t kInboxCapacity = 32;
constexpr Duration kOverdue = 10ms;  // after the deadline, when the module has not answered
constexpr Duration kIdKept = 1s;  // after its deadline, when nothing of a request is out any more
constexpr std::size_t kMostIds = 32 * 1024;
constexpr std::size_t kLongestId = 128;
constexpr std::size_t kAcceptTurn = 32;  // connections taken before others have their turn
constexpr std::size_t kMaxEarly =
    http::kMaxHead + http::kMaxBody;  // bytes of the next request, kept

class HttpPayload : public Payload {
 public:
  // With `rest` the request's body is its first part only; `length` is that of all of it, `wait`
  // the client's.
  HttpPayload(http::Message&& request, std::shared_ptr<BodyPipe> rest,
              std::optional<std::uint64_t> length, Duration wait)
      : request_(std::move(request)), rest_(std::move(rest)), length_(length), wait_(wait) {}
  std::string_view trace_id() const override { return *request_.headers.find("X-Trace-Id"); }
  std::string encode(const std::string& host, Duration left) const override {
    using std::chrono::milliseconds;
    const auto ms =
        std::max<std::int64_t>(1, std::chrono::floor<milliseconds>(rest_ ? wait_ : left).count());
    std::string headers = "X-Expires-In-Ms: " + std::to_string(ms) + "\r\n";
    for (const char* name : {"X-Trace-Id", "Idempotency-Key", "Content-Type"}) {
      if (const std::string* value = request_.headers.find(name)) {
        headers.append(name).append(": ").append(*value).append("\r\n");
      }
    }
    if (!rest_) {
      return http::write_request(request_.method, request_.target, host, headers, request_.body);
    }
    return http::write_request_head(request_.method, request_.target, host, headers, length_) +
           frame_body(request_.body);
  }
  const std::shared_ptr<BodyPipe>& remaining_body() const override { return rest_; }
  std::string frame_body(std::string bytes) const override {
    return length_ ? bytes : http::write_chunk(bytes);
  }
  std::string frame_body_end() const override { return length_ ? "" : http::write_chunk({}); }

 private:
  http::Message request_;
  std::shared_ptr<BodyPipe> rest_;
  std::optional<std::uint64_t> length_;
  Duration wait_;
};

}  // namespace

// ---- The door

namespace {

Duration longest_deadline(const config::Config& config) {
  Duration longest{0};
  for (const ClassSettings& c : config.named_settings.settings.classes) {
    longest = std::max(longest, c.deadline);
  }
  return longest;
}

}  // namespace

ClientListener::ClientListener(runtime::Scheduler& scheduler, DecisionMailbox& decisions,
                               const config::Config& config, Telemetry& telemetry,
                               BodyBudget& bodies, std::size_t descriptors,
                               std::function<bool()> has_list, bool drained)
    : scheduler_(scheduler),
      decisions_(decisions),
      config_(config),
      telemetry_(telemetry),
      bodies_(bodies),
      budget_(descriptors),
      has_list_(std::move(has_list)),
      listener_(
          config.inherited_listener_fd
              ? std::make_unique<net::Listener>(scheduler, net::Fd(*config.inherited_listener_fd))
              : std::make_unique<net::Listener>(scheduler, config.listen)),
      inbox_(kInboxCapacity),
      course_(longest_deadline(config)) {
  if (drained) {
    course_.drain(now());
  }
  for (const auto& name : config.named_settings.classes) {
    classes_.id(name);
  }
  for (const auto& name : config.named_settings.tenants) {
    tenants_.id(name);
  }
}

namespace {

// A fault on one connection ends that connection alone, and says so in the log.
Task<> serve_and_free(std::unique_ptr<ClientConnection> socket) {
  try {
    co_await socket->serve();
  } catch (const std::exception& error) {
    log::fault("front_fault", error);
  }
}

}  // namespace

Task<> ClientListener::run_accept_loop() {
  // A shared socket's clients wait for whoever can serve them.
  while (config_.inherited_listener_fd && !has_list_() && !course_.is_shutting_down()) {
    runtime::Wait wait(scheduler_);
    wait.until(Clock::now() + kAcceptPause);
    co_await wait;
  }
  accepting_ = true;
  sockaddr_in from{};
  net::Fd fd;
  for (std::size_t taken = 1; course_.accepts_connections(now()); ++taken) {
    if (taken % kAcceptTurn == 0 ||
        !budget_.has_capacity()) {  // those taken have spoken, if ever, after their turn
      runtime::Wait others(scheduler_);
      others.until(Clock::now());
      co_await others;
    }
    // Stops accepting when descriptors are short: the backlog holds clients until one is free.
    if (!budget_.has_capacity()) {
      co_await room();
      continue;
    }
    const Io io = co_await listener_->accept(Clock::now() + kAcceptCheck, fd, from, &turned_);
    if (io == Io::kOk) {
      admit(std::move(fd), from);
    }
    if (io != Io::kError) {
      continue;
    }
    runtime::Wait wait(scheduler_);  // guards against a busy loop when the system has none left
    wait.until(Clock::now() + kAcceptPause);
    co_await wait;
  }
  // Guards against a reset of those in the backlog: to them this machine has accepted. The last
  // look and the close are one turn. A shared socket's are its other holders'.
  while (!config_.inherited_listener_fd && now() < course_.response_deadline()) {
    if (!budget_.has_capacity()) {
      co_await room();
      continue;
    }
    if (listener_->accept_now(fd, from) != Io::kOk) {
      break;
    }
    admit(std::move(fd), from);
  }
  listener_.reset();  // from here on clients are refused, not left waiting
}

void ClientListener::admit(net::Fd fd, const sockaddr_in& from) {
  try {
    scheduler_.spawn(
        serve_and_free(std::make_unique<ClientConnection>(*this, std::move(fd), from)));
  } catch (const std::system_error& error) {  // epoll takes no more: the client is let go
    log::fault("connection_let_go", error);
  }
}

Task<> ClientListener::room() {
  evict();
  runtime::Wait wait(scheduler_);
  wait.notified(left_).until(Clock::now() + kAcceptPause);
  co_await wait;
}

// Closes one client connection that nothing is owed: of those longest in their phase one that never
// spoke, else one that lingers, else one between requests, else one that has stopped amid its first
// request. While one is too young to be called silent, those that had a request a moment ago are
// spared: silent crowds must not drive usual clients out, nor must those that keep a connection for
// good keep new ones waiting.
void ClientListener::evict() {
  using Phase = ClientConnection::Phase;
  const TimePoint now = Clock::now();
  std::array<ClientConnection*, 4> longest{};
  bool young = false;
  for (ClientConnection* socket : sockets_) {
    const auto age = now - socket->since();
    const Phase phase = socket->phase();
    if (phase == Phase::kBusy) {
      continue;
    }
    const bool silent = phase == Phase::kSilent && age < kSilentAge;
    young = young || silent;
    if (silent || (phase == Phase::kReading && age < kHalfSpokenAge)) {
      continue;
    }
    auto*& first = longest[static_cast<std::size_t>(phase)];
    if (!first || socket->since() < first->since()) {
      first = socket;
    }
  }
  auto*& kept = longest[static_cast<std::size_t>(Phase::kKept)];
  if (young && kept && now - kept->since() < kKeptAge) {
    kept = nullptr;
  }
  for (ClientConnection* socket : longest) {
    if (socket) {
      return socket->ask_to_close(EndReason::kEvicted);  // its place is free once it has closed
    }
  }
}

Task<> ClientListener::run_lifecycle() {
  while (listener_ || !sockets_.empty()) {  // whoever stands in the backlog is still to be taken
    while (!inbox_.empty()) {
      heed(inbox_.take());
    }
    if (course_.closes_idle_connections(now())) {
      for (ClientConnection* socket : sockets_) {
        if (socket->phase() == ClientConnection::Phase::kKept ||
            (socket->phase() == ClientConnection::Phase::kSilent &&
             Clock::now() >= socket->since() + kSpeaksWithin)) {
          socket->ask_to_close(EndReason::kDraining);
        }
      }
    }
    runtime::Wait wait(scheduler_);
    wait.notified(inbox_.arrived());
    if (course_.is_draining() || course_.is_shutting_down()) {
      wait.until(Clock::now() + kAcceptPause);
    }
    co_await wait;
  }
}

void ClientListener::heed(const ListenerCommand& order) {
  switch (order.type) {
    case ListenerCommandType::kDrain:
      if (!course_.is_draining()) {
        log::info("drained");
      }
      course_.drain(now());
      break;
    case ListenerCommandType::kResume:
      if (course_.is_draining()) {
        log::info("rejoined");
      }
      course_.resume();
      break;
    case ListenerCommandType::kShutdown:
      course_.begin_shutdown(now(), order.has_successor);
      turned_.notify();
      break;
  }
  if (order.reply) {
    order.reply->complete(200);
  }
}

// Strict: nothing doubtful reaches a backend. A header may be absent where a default stands for it;
// one that is there must be understood, and stand there once.
ClientListener::Target ClientListener::target_of(http::Message& request,
                                                 std::optional<std::uint64_t> length,
                                                 std::shared_ptr<BodyPipe> upload) {
  const auto& headers = request.headers;
  const std::string path = request.target.substr(1, request.target.find_first_of("/?", 1) - 1);
  const auto class_id = classes_.known(path);
  if (!class_id) {
    return {404, nullptr};
  }
  const ClassSettings& settings = config_.named_settings.settings.classes[*class_id];
  const bool safe = settings.idempotency == Idempotency::kIdempotent;
  if (request.method != (safe ? "GET" : "POST")) {
    return {405, nullptr};
  }
  if (safe && (!request.body.empty() || headers.find("Transfer-Encoding"))) {
    return {400, nullptr};
  }
  for (const char* name :
       {"Host", "X-Trace-Id", "X-Customer", "X-Expires-In-Ms", "Idempotency-Key"}) {
    if (const std::string* value = headers.find(name);
        value && (value->empty() || headers.count(name) > 1)) {
      return {400, nullptr};
    }
  }
  const std::string* trace = headers.find("X-Trace-Id");
  if (!trace || trace->size() > kLongestId) {
    return {400, nullptr};
  }
  if (settings.idempotency == Idempotency::kIdempotencyKey && !headers.find("Idempotency-Key")) {
    return {400, nullptr};
  }
  auto operation = std::make_shared<ClientRequest>();
  operation->class_id = *class_id;
  if (const std::string* tenant = headers.find("X-Customer")) {
    const auto tenant_id = tenants_.known(*tenant);
    if (!tenant_id) {
      return {400, nullptr};
    }
    operation->tenant = *tenant_id;
  }
  Duration wait = settings.deadline;
  if (const std::string* text = headers.find("X-Expires-In-Ms")) {
    const auto ms = http::whole_number(*text);
    if (!ms || *ms == 0) {
      return {400, nullptr};
    }
    const auto longest = std::chrono::ceil<std::chrono::milliseconds>(settings.deadline).count();
    wait = std::chrono::milliseconds(std::min(*ms, static_cast<std::uint64_t>(longest)));
  }
  operation->arrived_at = now();
  operation->client_timeout = wait;
  operation->deadline =
      operation->arrived_at + wait + (upload ? Duration(kUploadGuess) : Duration{0});
  operation->deadline = std::min(operation->deadline, course_.response_deadline());
  if (!ids_.take(*trace, operation->arrived_at, operation->deadline + kIdKept)) {
    return {409, nullptr};
  }
  operation->payload =
      std::make_shared<const HttpPayload>(std::move(request), std::move(upload), length, wait);
  return {0, std::move(operation)};
}

bool OpenRequestIds::take(const std::string& id, Time now, Time until) {
  while (!by_time_.empty() && (by_time_.begin()->first <= now || by_time_.size() >= kMostIds)) {
    ids_.erase(by_time_.begin()->second);
    by_time_.erase(by_time_.begin());
  }
  const bool fresh = ids_.insert(id).second;
  if (fresh) {
    by_time_.emplace(until, id);
  }
  return fresh;
}

// ---- One connection

ClientConnection::ClientConnection(ClientListener& door, net::Fd fd, const sockaddr_in& from)
    : door_(door),
      slot_(door.budget_),
      remote_(net::to_string(from)),
      stream_(door.scheduler_, std::move(fd)),
      place_(door.sockets_.insert(door.sockets_.end(), this)) {
}

ClientConnection::~ClientConnection() {
  log_end("front", remote_, reason_, operations_);
  door_.sockets_.erase(place_);
  door_.left_.notify();
}

void ClientConnection::ask_to_close(EndReason reason) {
  asked_ = true;
  asked_reason_ = reason;
  wake_.notify();
}

void ClientConnection::enter(Phase phase) {
  phase_ = phase;
  since_ = Clock::now();
}

Task<> ClientConnection::serve() {
  for (;;) {
    http::Parser parser(http::Parser::Kind::kRequest);
    const Got got = co_await read_request(parser);
    // At rest nothing of an answer is still on its way. A request that crosses the close stays
    // unread, and its client can tell: it sends it once more.
    if (got == Got::kEnd) {
      co_return;
    }
    if (got == Got::kBad) {
      co_await turn_away(parser.error_status(), EndReason::kBadRequest);
      break;
    }
    if (got == Got::kHalf) {
      co_await turn_away(408, EndReason::kReadTimeout);
      break;
    }
    const bool open = co_await answer_request(parser);
    if (!open) {
      break;
    }
  }
  enter(Phase::kLingering);
  if (asked_ && asked_reason_ == EndReason::kEvicted) {
    co_return;  // its descriptor is needed now
  }
  // Guards against a reset that destroys an answer still on its way.
  const TimePoint until =
      to_point(std::min(now() + kLingerLimit, door_.course_.response_deadline()));
  if (spoilt_) {
    co_await stream_.linger(until, wake_);
  } else {
    co_await stream_.linger_unread(until, wake_);
  }
}

Task<> ClientConnection::turn_away(int status, EndReason reason) {
  const std::string bytes = http::write_response(status, "", "", true);
  spoilt_ = true;
  co_await reply(bytes, true);
  reason_ = reason;
}

// A large body may take its time, at a least rate.
TimePoint ClientConnection::whole_by() const {
  return begun_ + kRequestLimit + std::chrono::milliseconds(received_ / kLeastRate);
}

// A whole request, or of a large one what has come up to kMaxBody.
Task<ClientConnection::Got> ClientConnection::read_request(http::Parser& parser) {
  http::Progress progress = http::Progress::kMore;
  std::string& body = parser.message().body;
  large_ = false;
  received_ = buffer_.size();
  const auto advance = [&] {
    progress = parser.feed_part(buffer_);
    large_ = progress == http::Progress::kMore && body.size() > http::kMaxBody;
  };
  advance();
  const bool begun = progress != http::Progress::kMore || !buffer_.empty() || parser.head_done();
  enter(begun ? Phase::kReading : operations_ == 0 && !probed_ ? Phase::kSilent : Phase::kKept);
  begun_ = since_;
  bool continued = false;
  while (progress == http::Progress::kMore && !large_) {
    if (parser.head_done() && !std::exchange(continued, true) &&
        parser.message().headers.find("Expect")) {
      if (!parser.message().headers.has_token("Expect", "100-continue")) {
        co_return Got::kBad;
      }
      if (co_await stream_.write("HTTP/1.1 100 Continue\r\n\r\n", Clock::now() + kWriteLimit) !=
          Io::kOk) {
        reason_ = EndReason::kWriteFailed;
        co_return Got::kEnd;
      }
    }
    // Asked to close: a last look for a request that has come, without waiting for one.
    const bool idle = phase_ != Phase::kReading;
    const TimePoint deadline = !idle                      ? whole_by()
                               : phase_ == Phase::kSilent ? since_ + kSilentLimit
                                                          : since_ + kIdleLimit;
    const TimePoint until =
        asked_ && (idle || asked_reason_ == EndReason::kEvicted) ? Clock::now() : deadline;
    const std::size_t before = buffer_.size();
    const Io io = co_await stream_.read(buffer_, until, &wake_);
    if (io == Io::kNotified) {
      continue;
    }
    if (io == Io::kTimeout && !idle && !asked_) {
      enter(Phase::kBusy);
      co_return Got::kHalf;
    }
    if (io != Io::kOk) {
      reason_ = io != Io::kTimeout       ? EndReason::kClientClosed
                : asked_                 ? asked_reason_
                : phase_ == Phase::kKept ? EndReason::kIdle
                                         : EndReason::kReadTimeout;
      enter(Phase::kBusy);  // no longer one to ask
      co_return Got::kEnd;
    }
    received_ += buffer_.size() - before;
    enter(Phase::kReading);  // it has not stopped
    if (idle) {
      begun_ = since_;
    }
    advance();
  }
  enter(Phase::kBusy);
  // Guards against a request whose length is wrong: what follows it is no request.
  if (progress == http::Progress::kDone && !http::may_begin_request(buffer_)) {
    co_return Got::kBad;
  }
  co_return progress == http::Progress::kBad ? Got::kBad : Got::kRequest;
}

// Not while the next request stands in the buffer, as it has been read; but for the end of all
// answers.
bool ClientConnection::parts() const {
  return (asked_ || door_.course_.closes_after_response(came_, now())) &&
         (buffer_.empty() || now() >= door_.course_.response_deadline());
}

// False: this was the connection's last.
Task<bool> ClientConnection::answer_request(http::Parser& parser) {
  http::Message& request = parser.message();
  bool close = !request.keep_alive();
  if (request.method == "GET" && request.target == "/health/ready") {
    probed_ = true;
    close = close || parts();
    const std::string bytes = http::write_response(door_.ready() ? 200 : 503, "", "", close);
    co_return co_await reply(bytes, close);
  }
  const bool chunks = request.minor_version >= 1;
  const bool short_of_room = large_ && !door_.bodies_.has_capacity();
  std::shared_ptr<BodyPipe> upload;
  if (large_) {
    upload = std::make_shared<BodyPipe>(door_.bodies_);
  }
  ClientListener::Target target = door_.target_of(request, parser.length(), upload);
  if (target.error != 0) {
    co_await turn_away(target.error, EndReason::kBadRequest);
    co_return false;
  }
  ++operations_;
  Telemetry::RequestScope open(door_.telemetry_, target.operation->class_id);
  const std::shared_ptr<ClientRequest> operation = std::move(target.operation);
  const BodyPipe::WriterGuard writing(upload.get(), operation->response_ready);
  DecisionMessage arrival(RequestReceived{operation});
  if (short_of_room || !door_.decisions_.post(std::move(arrival))) {
    operation->response = Rejection{};  // nothing has run
  } else if (!co_await await_answer(operation, parser)) {
    co_return false;
  }
  // Answered before its body has come: what still comes is no request.
  spoilt_ = upload && !upload->is_complete();
  close = close || spoilt_ || parts();
  std::string bytes;
  RequestOutcome how = RequestOutcome::kFailed;
  if (const auto* served = std::get_if<BackendResponse>(&*operation->response)) {
    const std::string type =
        served->content_type.empty() ? "" : "Content-Type: " + served->content_type + "\r\n";
    if (served->remaining_body) {
      const bool whole = co_await pass_on(*served, type, close, chunks);
      if (reason_ != EndReason::kWriteFailed) {
        open.end(whole ? RequestOutcome::kCompleted : RequestOutcome::kFailed);
      }
      co_return whole && !close && (chunks || served->content_length);
    }
    bytes = http::write_response(200, type, served->body, close);
    how = RequestOutcome::kCompleted;
  } else if (const auto* busy = std::get_if<Rejection>(&*operation->response)) {
    const std::string later = busy->retry_after > Duration{0}
                                  ? "Retry-After: " + http::retry_after(busy->retry_after) + "\r\n"
                                  : std::string();
    bytes = http::write_response(503, later, "", close);
    how = RequestOutcome::kRejected;
  } else {
    bytes = http::write_response(502, "", "", close);
  }
  const bool more = co_await reply(bytes, close);
  if (reason_ != EndReason::kWriteFailed) {
    open.end(how);
  }
  co_return more;
}

// A large answer, at the pace of its backend and its client. False: its end did not come, or the
// client left; the connection is then closed without it, so that the client can tell.
Task<bool> ClientConnection::pass_on(const BackendResponse& reply, const std::string& extra,
                                     bool close, bool chunks) {
  BodyPipe& rest = *reply.remaining_body;
  struct Leaver {
    BodyPipe& pipe;
    ~Leaver() { pipe.close_reader(); }
  } leaver{rest};
  const bool stated = reply.content_length.has_value();
  const auto framed = [&](const std::string& bytes) {
    return stated || !chunks ? bytes : http::write_chunk(bytes);
  };
  std::string bytes = chunks || stated
                          ? http::write_response_head(200, extra, reply.content_length, close)
                          : "HTTP/1.1 200 OK\r\n" + extra + "Connection: close\r\n\r\n";
  bytes += framed(reply.body);
  for (;;) {
    const bool last = rest.is_complete();
    if (!rest.empty()) {
      bytes += framed(rest.take());
    }
    if (last && !stated && chunks) {
      bytes += http::write_chunk({});
    }
    const Io io = co_await stream_.write(bytes, Clock::now() + kWriteLimit);
    reason_ = io != Io::kOk ? EndReason::kWriteFailed : EndReason::kAnsweredClose;
    if (io != Io::kOk || last) {
      co_return io == Io::kOk;
    }
    bytes.clear();
    if (!rest.empty() || rest.is_complete()) {
      continue;
    }
    if (rest.is_aborted()) {
      co_return false;
    }
    runtime::Wait wait(door_.scheduler_);
    wait.notified(rest.data_available());
    co_await wait;
  }
}

// Moves what has come of a large request's body on. False: it cannot be read, or its length was
// wrong.
bool ClientConnection::take_upload(ClientRequest& operation, http::Parser& parser) {
  BodyPipe& upload = *operation.payload->remaining_body();
  std::string bytes;
  const http::Progress progress = parser.feed_body(buffer_, bytes);
  if (!bytes.empty()) {
    upload.push(bytes);
  }
  if (progress == http::Progress::kMore) {
    return true;
  }
  if (progress == http::Progress::kBad || !http::may_begin_request(buffer_)) {
    return false;
  }
  operation.arrived_at = now();
  operation.deadline =
      std::min(operation.arrived_at + operation.client_timeout, door_.course_.response_deadline());
  upload.finish();
  return true;
}

// Waits for the operation's answer and for the client's end alike, and passes the rest of a large
// body on. False: the client has gone, or been told that its request is wrong.
Task<bool> ClientConnection::await_answer(const std::shared_ptr<ClientRequest>& operation,
                                          http::Parser& parser) {
  BodyPipe* const upload = operation->payload->remaining_body().get();
  while (!operation->response) {
    Io io = Io::kNotified;
    const bool coming = upload && !upload->is_complete();
    const TimePoint overdue = coming ? whole_by() : to_point(operation->deadline + kOverdue);
    if (coming ? !upload->full() : buffer_.size() < kMaxEarly) {
      const std::size_t before = buffer_.size();
      io = co_await stream_.read(buffer_, overdue, &operation->response_ready);
      received_ += buffer_.size() - before;
    } else {
      // While a backend holds the body back, its client is not the slow one. It may leave, unread
      // bytes or not.
      const TimePoint from = Clock::now();
      io = co_await stream_.await_end(coming ? to_point(operation->deadline) : overdue,
                                      operation->response_ready);
      if (coming) {
        begun_ += Clock::now() - from;
      }
    }
    if (operation->response || io == Io::kNotified) {
      continue;
    }
    bool spoilt = false, slow = false;
    if (coming && io == Io::kOk) {
      spoilt = !take_upload(*operation, parser);
    } else {
      spoilt = io == Io::kOk && !http::may_begin_request(buffer_);  // its length was wrong
      slow = coming && io == Io::kTimeout;
    }
    if (io == Io::kOk && !spoilt) {
      continue;
    }
    // Gone, or never decided: an unforeseen failure, and something may have run.
    if (io == Io::kTimeout && !slow) {
      operation->response = Failure{};
    }
    operation->abandoned = io != Io::kTimeout || slow;
    if (upload) {
      upload->abort();
    }
    for (DecisionMessage left(RequestAbandoned{operation});
         !door_.decisions_.post(std::move(left));) {
      runtime::Wait wait(
          door_.scheduler_);  // guards against a request that is held and sent on for nobody
      wait.until(Clock::now() + 1ms);
      co_await wait;
    }
    if (io == Io::kTimeout && !slow) {
      break;
    }
    if (spoilt) {
      co_await turn_away(coming ? parser.error_status() : 400, EndReason::kBadRequest);
    }
    if (slow) {
      co_await turn_away(408, EndReason::kReadTimeout);
    }
    if (!spoilt && !slow) {
      reason_ = EndReason::kClientGone;
    }
    co_return false;
  }
  co_return true;
}

Task<bool> ClientConnection::reply(const std::string& bytes, bool close) {
  const Io io = co_await stream_.write(bytes, Clock::now() + kWriteLimit);
  reason_ = io == Io::kOk ? EndReason::kAnsweredClose : EndReason::kWriteFailed;
  co_return io == Io::kOk && !close;
}

}  // namespace beechhill::proxy
