#include "proxy/backend_actor.h"

#include <algorithm>
#include <iterator>

#include "http/field_values.h"
#include "http/message.h"
#include "http/parser.h"
#include "http/writer.h"
#include "log/log.h"

namespace beechhill::proxy {

using namespace std::chrono_literals;
using net::Io;
using runtime::Clock;
using runtime::Task;
using runtime::TimePoint;

namespace {

constexpr std::size_t kInboxCapacity = 2048;
constexpr std::size_t kStepsQueued =
    1024;                        // the rest of the inbox is for cancels and news of the backend
constexpr int kIdleShare = 2;    // of idle-close, a connection is kept idle for one part
constexpr auto kSettling = 5ms;  // after an answer
constexpr int kProbeConnects =
    5;  // a probe may take so many times the longest that a connection may
constexpr int kAnswerPauses =
    8;  // of the shortest class's deadline, one part: so long an answer that has begun may
        // pause. Longer, and its length was wrong. 250 ms where a deadline is 2 s
constexpr auto kStreamPause = 5000ms;  // within what is passed on as it comes, by either side
constexpr std::size_t kFirstPart =
    8 * 1024;  // of an answer stated to be large, before a client gets any of it

class ProbePayload : public Payload {
 public:
  std::string encode(const std::string& host, Duration) const override {
    return http::write_request("GET", "/stats", host, "", "");
  }
};

LoadReport report_in(const http::Headers& headers) {
  LoadReport report;
  if (const std::string* text = headers.find("Endpoint-Load-Metrics")) {
    report.utilization = http::load_value(*text, "cpu_share");
    report.requests_per_s = http::load_value(*text, "served_ps");
  }
  return report;
}

Result result_of(const http::Message& message) {
  if (message.status == 200) {
    return Result::kOk;
  }
  const std::string* never_ran = message.headers.find("X-Never-Ran");
  // Guards against taking an overloaded tier further down for a full backend: only the mark proves
  // it.
  if ((message.status == 503 || message.status == 504) && never_ran && *never_ran == "1") {
    return Result::kOverloaded;
  }
  return Result::kError;
}

}  // namespace

BackendPool::BackendPool(std::size_t descriptors, BodyBudget& pipes, Telemetry& figures,
                         const Settings& settings)
    : budget(descriptors), body_budget(pipes), telemetry(figures) {
  for (const ClassSettings& c : settings.classes) {
    max_response_gap = std::min(max_response_gap, c.deadline / kAnswerPauses);
  }
}

BackendActor::BackendActor(runtime::Scheduler& scheduler, DecisionMailbox& decisions,
                           BackendPool& pool, const Settings& settings, EndpointId server,
                           sockaddr_in address)
    : scheduler_(scheduler),
      decisions_(decisions),
      pool_(pool),
      settings_(settings),
      server_(server),
      status_{EndpointStatus::kRemoved, address},
      inbox_(kInboxCapacity),
      actor_(scheduler.spawn(run())) {
  pool_.backends.push_back(this);
}

BackendActor::~BackendActor() {
  scheduler_.cancel(actor_);
  for (const auto& [key, task] : attempts_) {
    scheduler_.cancel(task);
  }
  drop_all_idle();
  std::erase(pool_.backends, this);
}

bool BackendActor::post(BackendMessage&& message) {
  if (std::holds_alternative<AttemptRequest>(message) && inbox_.size() >= kStepsQueued) {
    return false;
  }
  return inbox_.post(std::move(message));
}

Task<> BackendActor::run() {
  for (;;) {
    while (!inbox_.empty()) {
      BackendMessage message = inbox_.take();
      std::visit([this](auto& m) { on(m); }, message);
    }
    sweep();
    runtime::Wait wait(scheduler_);
    wait.notified(inbox_.arrived());
    if (!idle_.empty()) {
      wait.until(oldest_ends());
    }
    co_await wait;
  }
}

void BackendActor::on(AttemptRequest& attempt) {
  const AttemptKey key{attempt.request_id, attempt.attempt_number};
  attempts_[key] = scheduler_.spawn(run_attempt(std::move(attempt)));
}

void BackendActor::on(CancelAttempt& cancel) {
  const auto it = attempts_.find({cancel.request_id, cancel.attempt_number});
  if (it == attempts_.end()) {
    return;  // its outcome is under way
  }
  scheduler_.cancel(it->second);  // closes its connection: nothing else tells a backend
  attempts_.erase(it);
  AttemptCompleted done{cancel.request_id, cancel.attempt_number, Result::kCancelled, {}, {}};
  scheduler_.spawn(deliver(std::move(done)));
}

void BackendActor::on(CheckHealth&) {
  scheduler_.spawn(run_probe());
}

void BackendActor::on(BackendStatus& status) {
  if (status.status == EndpointStatus::kRemoved) {
    status.address = status_.address;
  }
  // Guards against a request on a connection to a process that is gone: written there, it counts as
  // one that may have run.
  const bool another =
      !net::same(status.address, status_.address) || status.started_at != status_.started_at;
  status_ = status;
  if (status.status != EndpointStatus::kUp || another) {
    drop_all_idle();
  }
}

// None of a drain's grace is used: what discovery's agent held counts as told from when it had it,
// which may be the whole grace before it came here (a start, a watch that broke or fell silent).
bool BackendActor::may_send() const {
  return pool_.endpoints_are_current() && now() < status_.permitted_until &&
         status_.status == EndpointStatus::kUp;
}

// What an attempt is that may not send. After a gap whether the backend still serves is not known:
// no fault of its own.
Result BackendActor::unsent() const {
  return pool_.endpoints_are_current() ? Result::kConnectFailed : Result::kSkipped;
}

// ---- Connections

std::unique_ptr<BackendActor::Connection> BackendActor::take_idle() {
  sweep();
  // The last used, but for those whose answer came just now: what does not belong to it may be
  // under way. Ordered by time, so only those of the last few milliseconds are passed over.
  const TimePoint settled = Clock::now() - kSettling;
  while (!idle_.empty()) {
    auto it = std::prev(idle_.end());
    while (it != idle_.begin() && (*it)->idle_since > settled) {
      --it;
    }
    if ((*it)->idle_since > settled) {
      it = std::prev(idle_.end());
    }
    // Guards against a request on a connection that the backend has closed, or is about to: that is
    // a reset. The poll may not have told of it yet.
    if (!(*it)->stream->stale()) {
      return leave_idle(it);
    }
    drop_idle(it, EndReason::kPeerClosed);
  }
  return nullptr;
}

void BackendActor::Connection::on_readable() {
  if (stirred_at) {
    return;
  }
  stirred_at = owner.stirred_.size();
  owner.stirred_.push_back(this);
  owner.inbox_.arrived().notify();
}

void BackendActor::keep_idle(std::unique_ptr<Connection> connection) {
  Connection& c = *connection;
  c.idle_since = Clock::now();
  c.stream->watch(&c);
  // The end may have come with the answer: epoll tells of it no more.
  if (c.stream->stale()) {
    c.reason = EndReason::kPeerClosed;
    return;
  }
  c.place = idle_.insert(idle_.end(), std::move(connection));
  if (idle_.size() == 1) {
    inbox_.arrived().notify();  // there is one whose time will be over
  }
}

std::unique_ptr<BackendActor::Connection> BackendActor::leave_idle(IdleList::iterator place) {
  std::unique_ptr<Connection> connection = std::move(*place);
  idle_.erase(place);
  connection->stream->watch(nullptr);
  if (connection->stirred_at) {
    forget_stirred(*connection);
  }
  return connection;
}

void BackendActor::forget_stirred(Connection& connection) {
  stirred_[*connection.stirred_at] = stirred_.back();
  stirred_[*connection.stirred_at]->stirred_at = connection.stirred_at;
  stirred_.pop_back();
  connection.stirred_at.reset();
}

void BackendActor::drop_idle(IdleList::iterator place, EndReason reason) {
  leave_idle(place)->reason = reason;
}

void BackendActor::drop_all_idle() {
  while (!idle_.empty()) {
    drop_idle(std::prev(idle_.end()), EndReason::kPeerDrained);
  }
}

TimePoint BackendActor::oldest_ends() const {
  return idle_.front()->idle_since + settings_.backend_idle_timeout / kIdleShare;
}

// Looks at those that epoll has told of and at the oldest, and at no others.
void BackendActor::sweep() {
  while (!stirred_.empty()) {
    Connection& c = *stirred_.back();
    forget_stirred(c);
    if (c.stream->stale()) {
      drop_idle(c.place, EndReason::kPeerClosed);
    }
  }
  const TimePoint now = Clock::now();
  while (!idle_.empty() && oldest_ends() <= now) {
    drop_idle(idle_.begin(), EndReason::kIdle);
  }
}

// Frees another backend's longest idle connection where descriptors are short.
bool BackendActor::make_room() {
  if (pool_.budget.has_capacity()) {
    return true;
  }
  BackendActor* owner = nullptr;
  for (BackendActor* peer : pool_.backends) {
    if (!peer->idle_.empty() &&
        (!owner || peer->idle_.front()->idle_since < owner->idle_.front()->idle_since)) {
      owner = peer;
    }
  }
  if (owner) {
    owner->drop_idle(owner->idle_.begin(), EndReason::kEvicted);
  }
  return owner != nullptr;
}

// ---- Attempts

Task<> BackendActor::run_attempt(AttemptRequest attempt) {
  AttemptCompleted done{attempt.request_id, attempt.attempt_number, Result::kConnectFailed, {}, {}};
  try {
    Exchanged got =
        co_await exchange(*attempt.payload, attempt.connect_deadline, attempt.deadline, &attempt);
    if (got.told) {
      attempts_.erase({attempt.request_id, attempt.attempt_number});
      DecisionMessage ended(ResponseStreamEnded{server_});
      co_await deliver(std::move(ended));
      co_return;
    }
    done.result = got.result;
    done.load_report = got.report;
    done.response = std::move(got.reply);
  } catch (const std::exception& error) {  // guards against a send without an outcome
    log::fault("step_fault", error);
    done.result = Result::kError;  // it may have run
  }
  attempts_.erase({attempt.request_id, attempt.attempt_number});
  DecisionMessage message(std::move(done));
  co_await deliver(std::move(message));
}

Task<> BackendActor::run_probe() {
  const ProbePayload payload;
  const Time until = now() + kProbeConnects * settings_.connect_timeout;
  const Exchanged got = co_await exchange(payload, until, until, nullptr);
  DecisionMessage message(HealthCheckCompleted{server_, got.result, got.report});
  co_await deliver(std::move(message));
}

// Every send has one outcome: a full mailbox delays it, and nothing drops it.
Task<> BackendActor::deliver(DecisionMessage message) {
  while (!decisions_.post(std::move(message))) {
    runtime::Wait wait(scheduler_);
    wait.until(Clock::now() + 1ms);
    co_await wait;
  }
}

Task<BackendActor::Exchanged> BackendActor::exchange(const Payload& payload, Time connect_by,
                                                     Time deadline, const AttemptRequest* attempt) {
  Exchanged got;
  const auto wanted = [&] {
    return !attempt || !attempt->request || attempt->request->awaits_response();
  };
  const Time leave_by = attempt ? std::min(deadline, attempt->write_deadline) : deadline;
  got.result = wanted() ? unsent() : Result::kSkipped;
  if (!may_send() || !wanted() || now() >= leave_by) {
    co_return got;
  }
  std::unique_ptr<Connection> connection = take_idle();
  if (!connection) {
    if (!make_room()) {
      co_return got;
    }
    connection = std::make_unique<Connection>(*this, status_.address);
    const TimePoint until = to_point(std::min(connect_by, now() + settings_.connect_timeout));
    connection->stream = co_await net::Stream::connect(scheduler_, status_.address, until);
    if (!connection->stream) {
      connection->reason = EndReason::kConnectFailed;
      co_return got;
    }
    // Guards against work for a backend that drained, or moved, while the connection was still
    // under way; and for a client that has left, or has its answer, or beyond the time in which a
    // repeat is known as one.
    const bool there = may_send() && net::same(connection->address, status_.address);
    if (!there || !wanted() || now() >= leave_by) {
      connection->reason = there ? EndReason::kStepCancelled : EndReason::kPeerDrained;
      got.result = wanted() ? unsent() : Result::kSkipped;
      if (there) {
        keep_idle(std::move(connection));  // paid for, and unused
      }
      co_return got;
    }
  }
  ++connection->operations;
  const std::string bytes = payload.encode(net::to_string(status_.address), deadline - now());
  Io written = co_await connection->stream->write(bytes, to_point(leave_by));
  if (written == Io::kOk && payload.remaining_body()) {
    written = co_await send_rest(*connection->stream, payload);
    deadline = now() + attempt->response_timeout;
  }
  if (written != Io::kOk) {  // its last byte never left, so it never ran
    connection->reason = EndReason::kReset;
    co_return got;
  }
  if (!payload.trace_id().empty()) {
    pool_.telemetry.count_upstream_request();  // a probe is no attempt
  }
  bool reusable = false;
  got = co_await receive(*connection, payload.trace_id(), deadline, attempt, reusable);
  // Guards against the next request going to where a backend no longer is.
  if (reusable && status_.status == EndpointStatus::kUp &&
      net::same(connection->address, status_.address)) {
    keep_idle(std::move(connection));
  }
  co_return got;
}

// The rest of a large request, at the pace of its client. Anything but kOk: its last byte has not
// left. A backend that ends, or answers before it has all, wants no more of it.
Task<Io> BackendActor::send_rest(net::Stream& stream, const Payload& payload) {
  BodyPipe& rest = *payload.remaining_body();
  for (;;) {
    std::string bytes;
    const bool last = rest.is_complete();
    if (!rest.empty()) {
      bytes = payload.frame_body(rest.take());
    }
    if (last) {
      bytes += payload.frame_body_end();
    }
    const Io io = co_await stream.write(bytes, Clock::now() + kStreamPause);
    if (io != Io::kOk || last) {
      co_return io;
    }
    if (rest.is_aborted()) {
      co_return Io::kError;
    }
    if (!rest.empty() || rest.is_complete()) {
      continue;
    }
    std::string early;
    const Io word =
        co_await stream.read(early, Clock::now() + kStreamPause, &rest.data_available());
    if (word != Io::kNotified && word != Io::kTimeout) {
      co_return Io::kError;
    }
  }
}

// A large answer, whose first part has come: told at once, and passed on until its end. What the
// backend still gives is not cut off by the request's deadline. True: it came whole.
Task<bool> BackendActor::pass_on(Connection& connection, http::Parser& parser, std::string& buffer,
                                 Exchanged& got, const AttemptRequest& attempt) {
  runtime::Notifier room;
  const auto pipe = std::make_shared<BodyPipe>(pool_.body_budget);
  const BodyPipe::WriterGuard writing(pipe.get(), room);
  AttemptCompleted done{attempt.request_id, attempt.attempt_number, Result::kOk, got.report,
                        std::move(got.reply)};
  done.response.remaining_body = pipe;
  got.told = true;
  DecisionMessage message(std::move(done));
  co_await deliver(std::move(message));
  http::Progress progress = http::Progress::kMore;
  std::string bytes;
  while (!pipe->reader_closed()) {
    progress = parser.feed_body(buffer, bytes);
    if (progress == http::Progress::kBad) {
      break;
    }
    if (!bytes.empty()) {
      pipe->push(bytes);
    }
    if (progress == http::Progress::kDone) {
      break;
    }
    if (pipe->full()) {
      runtime::Wait wait(scheduler_);
      wait.notified(room);
      co_await wait;
      continue;
    }
    const Io io = co_await connection.stream->read(buffer, Clock::now() + kStreamPause, &room);
    if (io == Io::kNotified || io == Io::kOk) {
      continue;
    }
    if (io == Io::kEof) {
      progress = parser.end();
    }
    break;
  }
  if (progress != http::Progress::kDone) {
    connection.reason = pipe->reader_closed() ? EndReason::kStepCancelled : EndReason::kBadReply;
    co_return false;
  }
  pipe->finish();
  co_return true;
}

// An answer counts only as a whole one to this request; whatever else comes may have run, and its
// connection is of no more use.
Task<BackendActor::Exchanged> BackendActor::receive(Connection& connection, std::string_view id,
                                                    Time deadline, const AttemptRequest* attempt,
                                                    bool& reusable) {
  Exchanged got;
  std::string buffer;
  http::Parser parser(http::Parser::Kind::kResponse);
  http::Message& message = parser.message();
  http::Progress progress = http::Progress::kMore;
  bool begun = false, large = false;
  const auto advance = [&] {
    progress = parser.feed_part(buffer);
    const bool stated = parser.length().value_or(0) > http::kMaxBody;
    large = progress == http::Progress::kMore &&
            message.body.size() > (stated ? kFirstPart : http::kMaxBody);
  };
  while (progress == http::Progress::kMore && !large) {
    const Time until = begun ? std::min(deadline, now() + pool_.max_response_gap) : deadline;
    const Io io = co_await connection.stream->read(buffer, to_point(until));
    if (io == Io::kOk) {
      advance();
    }
    if (io == Io::kEof && parser.head_done()) {
      progress = parser.end();
    }
    if (progress == http::Progress::kDone) {
      break;
    }
    if (io == Io::kOk && progress != http::Progress::kBad) {
      begun = true;
      continue;
    }
    const bool broke = io == Io::kEof || io == Io::kError;
    const bool late = io == Io::kTimeout && !begun;
    connection.reason = broke  ? EndReason::kReset
                        : late ? EndReason::kStepTimeout
                               : EndReason::kBadReply;
    got.result = broke ? Result::kReset : late ? Result::kTimeout : Result::kError;
    co_return got;
  }
  const bool named = !id.empty() && message.body.starts_with(id);
  // Guards against serving a request with what was left over from the one before it on this
  // connection.
  if (message.status == 200 && !named && std::exchange(connection.names_requests, named)) {
    connection.reason = EndReason::kBadReply;
    got.result = Result::kError;
    co_return got;
  }
  connection.names_requests = named;
  got.result = result_of(message);
  got.report = report_in(message.headers);
  got.reply.body = std::move(message.body);
  if (const std::string* type = message.headers.find("Content-Type")) {
    got.reply.content_type = *type;
  }
  if (large && (!attempt || got.result != Result::kOk)) {  // nobody is to have it
    connection.reason = EndReason::kBadReply;
    co_return got;
  }
  if (large) {
    got.reply.content_length = parser.length();
    if (!co_await pass_on(connection, parser, buffer, got, *attempt)) {
      co_return got;
    }
  }
  reusable = message.keep_alive() && buffer.empty();
  connection.reason = buffer.empty() ? EndReason::kPeerClosed : EndReason::kBadReply;
  co_return got;
}

}  // namespace beechhill::proxy
