#include "proxy/front_socket.h"

#include <algorithm>
#include <array>
#include <system_error>
#include <utility>

#include "log/log.h"

namespace beechhill::proxy {

using namespace std::chrono_literals;
using net::Io;
using runtime::Clock;
using runtime::Task;
using runtime::TimePoint;

namespace {

constexpr auto kIdleLimit = 10000ms;       // between a client's requests
constexpr auto kSilentLimit = 1000ms;      // for a new client's first byte
constexpr auto kRequestLimit = 1500ms;     // for a request to arrive, from its first byte
constexpr auto kSilentAge = 30ms;          // when descriptors are short: a usual client has spoken by then
constexpr auto kKeptAge = 250ms;           // the same, while there may be silent ones: between requests
constexpr auto kHalfSpokenAge = 500ms;     // the same, for the rest of its request
constexpr auto kWriteLimit = 5s;           // for a client to take its answer
constexpr Duration kLingerLimit = 1s;        // for a client to close after the last answer
constexpr auto kAcceptPause = 20ms;        // when descriptors are short
constexpr auto kAcceptCheck = 200ms;       // how often the door looks whether it is to close
constexpr std::size_t kInboxCapacity = 32;
constexpr Duration kOverdue = 10ms;  // after the deadline, when the module has not answered
constexpr Duration kIdKept = 1s;     // after its deadline, when nothing of a request is out any more
constexpr std::size_t kMostIds = 32 * 1024;
constexpr std::size_t kLongestId = 128;
constexpr std::size_t kAcceptTurn = 32;  // connections taken before others have their turn
constexpr std::size_t kMaxEarly = http::kMaxHead + http::kMaxBody;  // bytes of the next request, kept

class HttpPayload : public Payload {
 public:
  explicit HttpPayload(http::Message&& request) : request_(std::move(request)) {}
  std::string_view id() const override { return *request_.headers.find("X-Trace-Id"); }
  std::string encode(const std::string& host, Duration left) const override {
    const auto ms = std::max<std::int64_t>(1, std::chrono::floor<std::chrono::milliseconds>(left).count());
    std::string headers = "X-Expires-In-Ms: " + std::to_string(ms) + "\r\n";
    for (const char* name : {"X-Trace-Id", "Idempotency-Key", "Content-Type"})
      if (const std::string* value = request_.headers.find(name))
        headers.append(name).append(": ").append(*value).append("\r\n");
    return http::write_request(request_.method, request_.target, host, headers, request_.body);
  }

 private:
  http::Message request_;
};

}  // namespace

// ---- The door

namespace {

Duration longest_deadline(const config::Config& config) {
  Duration longest{0};
  for (const ClassSettings& c : config.named.settings.classes) longest = std::max(longest, c.deadline);
  return longest;
}

}  // namespace

FrontDoor::FrontDoor(runtime::Scheduler& scheduler, DecisionBox& decisions, const config::Config& config,
                     Telemetry& telemetry, std::size_t descriptors, std::function<bool()> has_list, bool drained)
    : scheduler_(scheduler),
      decisions_(decisions),
      config_(config),
      telemetry_(telemetry),
      budget_(descriptors),
      has_list_(std::move(has_list)),
      listener_(config.inherited ? std::make_unique<net::Listener>(scheduler, net::Fd(*config.inherited))
                                 : std::make_unique<net::Listener>(scheduler, config.listen)),
      inbox_(kInboxCapacity),
      course_(longest_deadline(config)) {
  if (drained) course_.evacuate(now());
  for (const auto& name : config.named.classes) classes_.id(name);
  for (const auto& name : config.named.tenants) tenants_.id(name);
}

namespace {

// A fault on one connection ends that connection alone, and says so in the log.
Task<> serve_and_free(std::unique_ptr<FrontSocket> socket) {
  try {
    co_await socket->serve();
  } catch (const std::exception& error) { log_fault("front_fault", error); }
}

}  // namespace

Task<> FrontDoor::run() {
  // A shared socket's clients wait for whoever can serve them.
  while (config_.inherited && !has_list_() && !course_.ending()) {
    runtime::Wait wait(scheduler_);
    wait.until(Clock::now() + kAcceptPause);
    co_await wait;
  }
  accepting_ = true;
  for (std::size_t taken = 1; course_.accepts(now()); ++taken) {
    if (taken % kAcceptTurn == 0 || !budget_.room()) {  // those taken have spoken, if ever, after their turn
      runtime::Wait others(scheduler_);
      others.until(Clock::now());
      co_await others;
    }
    // Stops accepting when descriptors are short: the backlog holds clients until one is free.
    if (!budget_.room()) {
      evict();
      runtime::Wait wait(scheduler_);
      wait.notified(left_).until(Clock::now() + kAcceptPause);
      co_await wait;
      continue;
    }
    sockaddr_in from{};
    net::Fd fd;
    const Io io = co_await listener_->accept(Clock::now() + kAcceptCheck, fd, from, &turned_);
    if (io == Io::kOk) {
      try {
        scheduler_.spawn(serve_and_free(std::make_unique<FrontSocket>(*this, std::move(fd), from)));
      } catch (const std::system_error& error) {  // epoll takes no more: the client is let go
        log_fault("connection_let_go", error);
      }
    } else if (io == Io::kError) {
      runtime::Wait wait(scheduler_);  // guards against a busy loop when the system has none left
      wait.until(Clock::now() + kAcceptPause);
      co_await wait;
    }
  }
  listener_.reset();  // from here on clients are refused, not left waiting
}

// Closes one front socket that nothing is owed: of those longest in their phase one that never spoke, else
// one that lingers, else one between requests, else one that has stopped amid its first request. While one is
// too young to be called silent, those that had a request a moment ago are spared: silent crowds must not
// drive usual clients out, nor must those that keep a connection for good keep new ones waiting.
void FrontDoor::evict() {
  using Phase = FrontSocket::Phase;
  const TimePoint now = Clock::now();
  std::array<FrontSocket*, 4> longest{};
  bool young = false;
  for (FrontSocket* socket : sockets_) {
    const auto age = now - socket->since();
    const Phase phase = socket->phase();
    if (phase == Phase::kBusy) continue;
    const bool silent = phase == Phase::kSilent && age < kSilentAge;
    young = young || silent;
    if (silent || (phase == Phase::kReading && age < kHalfSpokenAge)) continue;
    auto*& first = longest[static_cast<std::size_t>(phase)];
    if (!first || socket->since() < first->since()) first = socket;
  }
  auto*& kept = longest[static_cast<std::size_t>(Phase::kKept)];
  if (young && kept && now - kept->since() < kKeptAge) kept = nullptr;
  for (FrontSocket* socket : longest)
    if (socket) return socket->ask_to_close(EndReason::kEvicted);  // its place is free once it has closed
}

Task<> FrontDoor::tend() {
  while (course_.accepts(now()) || !sockets_.empty()) {
    while (!inbox_.empty()) heed(inbox_.take());
    if (course_.clears(now()))
      for (FrontSocket* socket : sockets_)
        if (socket->phase() == FrontSocket::Phase::kKept || socket->phase() == FrontSocket::Phase::kSilent)
          socket->ask_to_close(EndReason::kDraining);
    runtime::Wait wait(scheduler_);
    wait.notified(inbox_.arrived());
    if (course_.drained() || course_.ending()) wait.until(Clock::now() + kAcceptPause);
    co_await wait;
  }
}

void FrontDoor::heed(const DoorOrder& order) {
  switch (order.word) {
    case DoorWord::kEvacuate:
      if (!course_.drained()) log::info("drained");
      course_.evacuate(now());
      break;
    case DoorWord::kRejoin:
      if (course_.drained()) log::info("rejoined");
      course_.rejoin();
      break;
    case DoorWord::kEnd:
      course_.end(now(), order.succeeded);
      turned_.notify();
      break;
  }
  if (order.asked) order.asked->answer(200);
}

// Strict: nothing doubtful reaches a backend. A header may be absent where a default stands for it; one that
// is there must be understood, and stand there once.
FrontDoor::Target FrontDoor::target_of(http::Message& request) {
  const auto& headers = request.headers;
  const std::string path = request.target.substr(1, request.target.find_first_of("/?", 1) - 1);
  const auto class_id = classes_.known(path);
  if (!class_id) return {404, nullptr};
  const ClassSettings& settings = config_.named.settings.classes[*class_id];
  const bool safe = settings.effect == Effect::kRepeatable;
  if (request.method != (safe ? "GET" : "POST")) return {405, nullptr};
  if (safe && (!request.body.empty() || headers.find("Transfer-Encoding"))) return {400, nullptr};
  for (const char* name : {"Host", "X-Trace-Id", "X-Customer", "X-Expires-In-Ms", "Idempotency-Key"})
    if (const std::string* value = headers.find(name); value && (value->empty() || headers.count(name) > 1))
      return {400, nullptr};
  const std::string* trace = headers.find("X-Trace-Id");
  if (!trace || trace->size() > kLongestId) return {400, nullptr};
  if (settings.effect == Effect::kKeyed && !headers.find("Idempotency-Key")) return {400, nullptr};
  auto operation = std::make_shared<Operation>();
  operation->class_id = *class_id;
  if (const std::string* tenant = headers.find("X-Customer")) {
    const auto tenant_id = tenants_.known(*tenant);
    if (!tenant_id) return {400, nullptr};
    operation->tenant = *tenant_id;
  }
  Duration wait = settings.deadline;
  if (const std::string* text = headers.find("X-Expires-In-Ms")) {
    const auto ms = http::whole_number(*text);
    if (!ms || *ms == 0) return {400, nullptr};
    const auto longest = std::chrono::ceil<std::chrono::milliseconds>(settings.deadline).count();
    wait = std::chrono::milliseconds(std::min(*ms, static_cast<std::uint64_t>(longest)));
  }
  operation->arrived = now();
  operation->deadline = std::min(operation->arrived + wait, course_.answer_by());
  if (!ids_.take(*trace, operation->arrived, operation->deadline + kIdKept)) return {409, nullptr};
  operation->payload = std::make_shared<const HttpPayload>(std::move(request));
  return {0, std::move(operation)};
}

bool OpenIds::take(const std::string& id, Time now, Time until) {
  while (!by_time_.empty() && (by_time_.begin()->first <= now || by_time_.size() >= kMostIds)) {
    ids_.erase(by_time_.begin()->second);
    by_time_.erase(by_time_.begin());
  }
  const bool fresh = ids_.insert(id).second;
  if (fresh) by_time_.emplace(until, id);
  return fresh;
}

// ---- One connection

FrontSocket::FrontSocket(FrontDoor& door, net::Fd fd, const sockaddr_in& from)
    : door_(door),
      slot_(door.budget_),
      remote_(net::to_string(from)),
      stream_(door.scheduler_, std::move(fd)),
      place_(door.sockets_.insert(door.sockets_.end(), this)) {}

FrontSocket::~FrontSocket() {
  log_end("front", remote_, reason_, operations_);
  door_.sockets_.erase(place_);
  door_.left_.notify();
}

void FrontSocket::ask_to_close(EndReason reason) {
  asked_ = true;
  asked_reason_ = reason;
  wake_.notify();
}

void FrontSocket::enter(Phase phase) {
  phase_ = phase;
  since_ = Clock::now();
}

Task<> FrontSocket::serve() {
  for (;;) {
    http::Parser parser(http::Parser::Kind::kRequest);
    const Got got = co_await read_request(parser);
    // An evicted socket's descriptor is needed now, and nothing of an answer is still on its way.
    if (got == Got::kEnd && reason_ != EndReason::kDraining) co_return;
    if (got == Got::kEnd) break;
    if (got == Got::kBad) {
      co_await turn_away(parser.error_status(), EndReason::kBadRequest);
      break;
    }
    if (got == Got::kHalf) {
      co_await turn_away(408, EndReason::kReadTimeout);
      break;
    }
    const bool open = co_await answer_request(parser.message());
    if (!open) break;
  }
  enter(Phase::kLingering);
  // Guards against a reset that destroys an answer still on its way.
  if (!asked_ || asked_reason_ != EndReason::kEvicted)
    co_await stream_.linger(to_point(std::min(now() + kLingerLimit, door_.course_.answer_by())), wake_);
}

Task<> FrontSocket::turn_away(int status, EndReason reason) {
  const std::string bytes = http::write_response(status, "", "", true);
  co_await reply(bytes, true);
  reason_ = reason;
}

Task<FrontSocket::Got> FrontSocket::read_request(http::Parser& parser) {
  http::Progress progress = parser.feed(buffer_);
  const bool begun = progress != http::Progress::kMore || !buffer_.empty() || parser.head_done();
  enter(begun ? Phase::kReading : operations_ == 0 && !probed_ ? Phase::kSilent : Phase::kKept);
  TimePoint deadline = since_ + (begun                      ? kRequestLimit
                                 : phase_ == Phase::kSilent ? kSilentLimit
                                                            : kIdleLimit);
  while (progress == http::Progress::kMore) {
    // Asked to close: a last look for a request that has come, without waiting for one.
    const bool idle = phase_ != Phase::kReading;
    const TimePoint until =
        asked_ && (idle || asked_reason_ == EndReason::kEvicted) ? Clock::now() : deadline;
    const Io io = co_await stream_.read(buffer_, until, &wake_);
    if (io == Io::kNotified) continue;
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
    if (idle) {
      enter(Phase::kReading);
      deadline = since_ + kRequestLimit;
    }
    progress = parser.feed(buffer_);
  }
  enter(Phase::kBusy);
  // Guards against a request whose length is wrong: what follows it is no request.
  if (progress == http::Progress::kDone && !http::may_begin_request(buffer_)) co_return Got::kBad;
  co_return progress == http::Progress::kDone ? Got::kRequest : Got::kBad;
}

bool FrontSocket::parts() const { return asked_ || door_.course_.parts(came_, now()); }

// False: this was the connection's last.
Task<bool> FrontSocket::answer_request(http::Message& request) {
  bool close = parts() || !request.keep_alive();
  if (request.method == "GET" && request.target == "/health/ready") {
    probed_ = true;
    const std::string bytes = http::write_response(door_.ready() ? 200 : 503, "", "", close);
    co_return co_await reply(bytes, close);
  }
  FrontDoor::Target target = door_.target_of(request);
  if (target.error != 0) {
    co_await turn_away(target.error, EndReason::kBadRequest);
    co_return false;
  }
  ++operations_;
  Telemetry::Open open(door_.telemetry_, target.operation->class_id);
  const std::shared_ptr<Operation> operation = std::move(target.operation);
  DecisionMessage arrival(Arrived{operation});
  if (!door_.decisions_.post(std::move(arrival))) {
    operation->answer = BusyReply{};  // nothing has run
  } else if (!co_await await_answer(operation)) {
    co_return false;
  }
  close = close || parts();
  std::string bytes;
  Ended how = Ended::kFailed;
  if (const auto* served = std::get_if<Reply>(&*operation->answer)) {
    const std::string type = served->type.empty() ? "" : "Content-Type: " + served->type + "\r\n";
    bytes = http::write_response(200, type, served->body, close);
    how = Ended::kCompleted;
  } else if (const auto* busy = std::get_if<BusyReply>(&*operation->answer)) {
    const std::string later = busy->retry_after > Duration{0}
                                  ? "Retry-After: " + http::retry_after(busy->retry_after) + "\r\n"
                                  : std::string();
    bytes = http::write_response(503, later, "", close);
    how = Ended::kRejected;
  } else {
    bytes = http::write_response(502, "", "", close);
  }
  const bool more = co_await reply(bytes, close);
  if (reason_ != EndReason::kWriteFailed) open.end(how);
  co_return more;
}

// Waits for the operation's answer and for the client's end alike. False: the client has gone.
Task<bool> FrontSocket::await_answer(const std::shared_ptr<Operation>& operation) {
  const TimePoint overdue = to_point(operation->deadline + kOverdue);
  while (!operation->answer) {
    Io io = Io::kNotified;
    if (buffer_.size() < kMaxEarly) {
      io = co_await stream_.read(buffer_, overdue, &operation->answered);
    } else {
      runtime::Wait wait(door_.scheduler_);
      wait.notified(operation->answered).until(overdue);
      if (co_await wait == runtime::Wake::kTime) io = Io::kTimeout;
    }
    if (operation->answer || io == Io::kNotified) continue;
    const bool spoilt = io == Io::kOk && !http::may_begin_request(buffer_);  // its length was wrong
    if (io == Io::kOk && !spoilt) continue;
    // Gone, or never decided: an unforeseen failure, and something may have run.
    if (io == Io::kTimeout) operation->answer = Failed{};
    DecisionMessage left(Left{operation});
    if (!door_.decisions_.post(std::move(left))) log_lost("client_end");
    if (io == Io::kTimeout) break;
    if (spoilt) co_await turn_away(400, EndReason::kBadRequest);
    if (!spoilt) reason_ = EndReason::kClientGone;
    co_return false;
  }
  co_return true;
}

Task<bool> FrontSocket::reply(const std::string& bytes, bool close) {
  const Io io = co_await stream_.write(bytes, Clock::now() + kWriteLimit);
  reason_ = io == Io::kOk ? EndReason::kAnsweredClose : EndReason::kWriteFailed;
  co_return io == Io::kOk && !close;
}

}  // namespace beechhill::proxy
