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

// Polling interval while descriptors or endpoints are missing and during a drain or shutdown.
constexpr auto kRetryInterval = 20ms;

// How often the accept loop checks whether it must stop.
constexpr auto kAcceptTimeout = 200ms;

// Connections that are accepted before other tasks run.
constexpr std::size_t kAcceptBatch = 32;

// Minimum time that a connection has been in its phase before it may be evicted when descriptors
// are short. A regular client sends its first byte within kMinNewAge.
constexpr auto kMinNewAge = 30ms;
constexpr auto kMinReadingAge = 500ms;
// Minimum age for the eviction of an idle connection while there are new connections that may turn
// out to be silent.
constexpr auto kMinIdleAge = 250ms;

// During a drain or shutdown, a new connection without a received byte is closed after this time. A
// client that sends anything has begun by then.
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

// Serves one connection. An exception is logged and ends only this connection.
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
    // Lets the tasks of accepted connections run, so that the first bytes of their clients are
    // read.
    if (round % kAcceptBatch == 0 || !context_.descriptor_budget.has_capacity()) {
      co_await sleep_for(0ms);
    }
    // Without a free descriptor nothing is accepted, and clients wait in the backlog.
    if (!context_.descriptor_budget.has_capacity()) {
      co_await await_descriptor();
      continue;
    }
    const TimePoint deadline = Clock::now() + kAcceptTimeout;
    const IoResult io = co_await listener_->accept(deadline, fd, remote, &shutdown_started_);
    if (io == IoResult::kOk) {
      accept_client(std::move(fd), remote);
    } else if (io == IoResult::kError) {
      // Avoids a busy loop when the system has no descriptors left.
      co_await sleep_for(kRetryInterval);
    }
  }
  co_await accept_backlog();
  listener_.reset();  // from here on connections are rejected instead of kept waiting
}

// Waits for endpoints before accepting from an inherited socket, whose clients another process may
// be able to serve meanwhile.
Task<> ClientListener::await_endpoints() {
  while (config_.inherited_listener_fd && !context_.has_endpoints() &&
         !context_.lifecycle.is_shutting_down()) {
    co_await sleep_for(kRetryInterval);
  }
}

// Accepts the clients in the backlog, which would otherwise be reset when the listener closes. No
// other task runs between the last accept and the close. The backlog of an inherited socket is left
// to the other processes that hold it.
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
  } catch (const std::system_error& error) {
    // epoll accepts no more descriptors, so the client is disconnected.
    log::fault("connection_let_go", error);
  }
}

Task<> ClientListener::sleep_for(Clock::duration duration) {
  runtime::Wait wait(context_.scheduler);
  wait.until(Clock::now() + duration);
  co_await wait;
}

// ---- Eviction

// Evicts a client without an outstanding response and waits until any connection ends, for at most
// kRetryInterval.
Task<> ClientListener::await_descriptor() {
  evict_one();
  runtime::Wait wait(context_.scheduler);
  wait.notified(context_.connection_closed).until(Clock::now() + kRetryInterval);
  co_await wait;
}

// Requests the close of one connection: the one that has been in its phase longest, of the first
// phase in the order of Phase in which any connection is old enough. While there are new
// connections too young to count as silent, connections that became idle a moment ago are spared. A
// crowd of silent clients must not displace regular ones, and clients that keep idle connections
// open must not block new ones.
void ClientListener::evict_one() {
  const TimePoint current_time = Clock::now();
  std::array<ClientConnection*, ClientConnection::kEvictablePhases> oldest{};
  bool has_young = false;
  for (ClientConnection* connection : context_.connections) {
    const auto age = current_time - connection->phase_started_at();
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
  if (has_young && idle && current_time - idle->phase_started_at() < kMinIdleAge) {
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
  // While `listener_` is set, its backlog may hold clients.
  while (listener_ || !context_.connections.empty()) {
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
