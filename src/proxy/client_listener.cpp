#include "proxy/client_listener.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <system_error>
#include <utility>

#include "log/log.h"

namespace beechhill::proxy {

using namespace std::chrono_literals;
using net::IoResult;
using runtime::Clock;
using runtime::now;
using runtime::Task;
using runtime::TimePoint;

namespace {

using Phase = ClientConnection::Phase;

constexpr std::size_t kInboxCapacity = 32;

// While descriptors are short, or endpoints awaited.
constexpr auto kRetryInterval = 20ms;

// How often the accept loop checks whether it is to end.
constexpr auto kAcceptTimeout = 200ms;

// Connections accepted before other tasks have their turn.
constexpr std::size_t kAcceptBatch = 32;

// Where descriptors are short, a connection is evicted once it has been so long in its phase. A
// usual client has sent its first byte by then.
constexpr auto kMinNewAge = 30ms;
constexpr auto kMinReadingAge = 500ms;
// Between requests, while there may be clients that never send anything.
constexpr auto kMinIdleAge = 250ms;

// At a shutdown: a new client that sends anything at all has begun by then.
constexpr auto kFirstByteGrace = 100ms;

Duration max_deadline(const config::Config& config) {
  Duration longest{0};
  for (const ClassSettings& settings : config.named_settings.settings.classes) {
    longest = std::max(longest, settings.deadline);
  }
  return longest;
}

std::unique_ptr<net::Listener> open_listener(runtime::Scheduler& scheduler,
                                             const config::Config& config) {
  if (config.inherited_listener_fd) {
    return std::make_unique<net::Listener>(scheduler,
                                           net::FileDescriptor(*config.inherited_listener_fd));
  }
  return std::make_unique<net::Listener>(scheduler, config.listen);
}

// A fault on one connection ends that connection alone, and is logged.
Task<> serve_connection(std::unique_ptr<ClientConnection> connection) {
  try {
    co_await connection->serve();
  } catch (const std::exception& error) {
    log::fault("front_fault", error);
  }
}

}  // namespace

ClientListener::ClientListener(runtime::Scheduler& scheduler, DecisionMailbox& decisions,
                               const config::Config& config, Telemetry& telemetry,
                               BodyBudget& body_budget, std::size_t descriptors,
                               std::function<bool()> has_endpoints, bool drained)
    : config_(config),
      context_{scheduler,
               decisions,
               telemetry,
               body_budget,
               DescriptorBudget(descriptors),
               ListenerLifecycle(max_deadline(config)),
               ClientRequestParser(config),
               std::move(has_endpoints),
               {},
               {}},
      listener_(open_listener(scheduler, config)),
      inbox_(kInboxCapacity) {
  if (drained) {
    context_.lifecycle.drain(now());
  }
}

// ---- Accepting

Task<> ClientListener::run_accept_loop() {
  co_await await_endpoints();
  accepting_ = true;
  sockaddr_in remote{};
  net::FileDescriptor fd;
  for (std::size_t round = 1; context_.lifecycle.accepts_connections(now()); ++round) {
    // The clients that were accepted have their turn: those that send anything have begun by then.
    if (round % kAcceptBatch == 0 || !context_.descriptor_budget.has_capacity()) {
      co_await sleep_for(0ms);
    }
    // While descriptors are short nothing is accepted: the backlog holds clients until one is free.
    if (!context_.descriptor_budget.has_capacity()) {
      co_await await_descriptor();
      continue;
    }
    const TimePoint deadline = Clock::now() + kAcceptTimeout;
    const IoResult io = co_await listener_->accept(deadline, fd, remote, &shutdown_started_);
    if (io == IoResult::kOk) {
      accept_client(std::move(fd), remote);
    } else if (io == IoResult::kError) {
      co_await sleep_for(kRetryInterval);  // guards against a busy loop where the system has none
    }
  }
  co_await accept_backlog();
  listener_.reset();  // from here on clients are refused, not left waiting
}

// A shared socket's clients wait for whoever can serve them.
Task<> ClientListener::await_endpoints() {
  while (config_.inherited_listener_fd && !context_.has_endpoints() &&
         !context_.lifecycle.is_shutting_down()) {
    co_await sleep_for(kRetryInterval);
  }
}

// Guards against a reset of clients in the backlog: to them this machine has accepted. Nothing else
// runs between the last look and the listener's close. A shared socket's backlog is its other
// holders'.
Task<> ClientListener::accept_backlog() {
  sockaddr_in remote{};
  net::FileDescriptor fd;
  while (!config_.inherited_listener_fd && now() < context_.lifecycle.response_deadline()) {
    if (!context_.descriptor_budget.has_capacity()) {
      co_await await_descriptor();
      continue;
    }
    if (listener_->accept_now(fd, remote) != IoResult::kOk) {
      break;
    }
    accept_client(std::move(fd), remote);
  }
}

void ClientListener::accept_client(net::FileDescriptor fd, const sockaddr_in& remote) {
  try {
    auto connection = std::make_unique<ClientConnection>(context_, std::move(fd), remote);
    context_.scheduler.spawn(serve_connection(std::move(connection)));
  } catch (const std::system_error& error) {  // epoll takes no more: the client is disconnected
    log::fault("connection_let_go", error);
  }
}

Task<> ClientListener::sleep_for(Clock::duration duration) {
  runtime::Wait wait(context_.scheduler);
  wait.until(Clock::now() + duration);
  co_await wait;
}

// ---- Eviction

// Evicts a client that nothing is owed to, and waits for any connection's end.
Task<> ClientListener::await_descriptor() {
  evict_one();
  runtime::Wait wait(context_.scheduler);
  wait.notified(context_.connection_closed).until(Clock::now() + kRetryInterval);
  co_await wait;
}

// Closes the connection that has been longest in its phase, of the first phase in Phase's order
// that has any old enough. While a new one is too young to be called silent, those that had a
// request a moment ago are spared: crowds of silent clients must not displace usual ones, nor must
// those that keep a connection for good keep new ones waiting.
void ClientListener::evict_one() {
  const TimePoint at = Clock::now();
  std::array<ClientConnection*, ClientConnection::kEvictablePhases> oldest{};
  bool has_young = false;
  for (ClientConnection* connection : context_.connections) {
    const auto age = at - connection->phase_started_at();
    const Phase phase = connection->phase();
    if (phase == Phase::kActive) {
      continue;
    }
    const bool young = phase == Phase::kNew && age < kMinNewAge;
    has_young = has_young || young;
    if (young || (phase == Phase::kReading && age < kMinReadingAge)) {
      continue;
    }
    ClientConnection*& candidate = oldest[static_cast<std::size_t>(phase)];
    if (!candidate || connection->phase_started_at() < candidate->phase_started_at()) {
      candidate = connection;
    }
  }
  ClientConnection*& idle = oldest[static_cast<std::size_t>(Phase::kIdle)];
  if (has_young && idle && at - idle->phase_started_at() < kMinIdleAge) {
    idle = nullptr;
  }
  const auto victim = std::find_if(oldest.begin(), oldest.end(),
                                   [](const ClientConnection* candidate) { return candidate; });
  if (victim != oldest.end()) {
    (*victim)->request_close(EndReason::kEvicted);  // its descriptor is free once it has closed
  }
}

// ---- Lifecycle

Task<> ClientListener::run_lifecycle() {
  while (listener_ || !context_.connections.empty()) {  // clients in the backlog are still to come
    while (!inbox_.empty()) {
      process(inbox_.take());
    }
    if (context_.lifecycle.closes_idle_connections(now())) {
      close_idle_connections();
    }
    runtime::Wait wait(context_.scheduler);
    wait.notified(inbox_.arrived());
    if (context_.lifecycle.is_draining() || context_.lifecycle.is_shutting_down()) {
      wait.until(Clock::now() + kRetryInterval);
    }
    co_await wait;
  }
}

void ClientListener::close_idle_connections() {
  for (ClientConnection* connection : context_.connections) {
    const bool silent = connection->phase() == Phase::kNew &&
                        Clock::now() >= connection->phase_started_at() + kFirstByteGrace;
    if (connection->phase() == Phase::kIdle || silent) {
      connection->request_close(EndReason::kDraining);
    }
  }
}

void ClientListener::process(const ListenerCommand& command) {
  ListenerLifecycle& lifecycle = context_.lifecycle;
  switch (command.type) {
    case ListenerCommandType::kDrain:
      if (!lifecycle.is_draining()) {
        log::info("drained");
      }
      lifecycle.drain(now());
      break;
    case ListenerCommandType::kResume:
      if (lifecycle.is_draining()) {
        log::info("rejoined");
      }
      lifecycle.resume();
      break;
    case ListenerCommandType::kShutdown:
      lifecycle.begin_shutdown(now(), command.has_successor);
      shutdown_started_.notify();
      break;
  }
  if (command.reply) {
    command.reply->complete(200);
  }
}

}  // namespace beechhill::proxy
