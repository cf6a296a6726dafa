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

// Polling interval while waiting for a descriptor or for endpoints, and during a drain or shutdown.
constexpr auto kRetryInterval = 20ms;

// Maximum time until the accept loop checks again whether it must stop.
constexpr auto kAcceptTimeout = 200ms;

// Maximum number of connections that are accepted before other tasks run.
constexpr std::size_t kAcceptBatch = 32;

// Minimum time that a new connection, or one that is reading a request, has been in its phase
// before it may be evicted. Clients that send a request send its first byte within kMinNewAge.
constexpr auto kMinNewAge = 30ms;
constexpr auto kMinReadingAge = 500ms;
// Minimum age for the eviction of an idle connection while there are new connections younger than
// kMinNewAge, which may turn out to be silent.
constexpr auto kMinIdleAge = 250ms;

// During a drain or shutdown, a new connection without a received byte is closed after this time.
// Clients that send a request send its first byte within this time.
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
                               BufferBudget& buffer_budget, TraceIdTable& trace_ids,
                               std::size_t descriptors, std::function<bool()> has_endpoints,
                               bool draining)
    : config_(config),
      context_{scheduler,
               decisions,
               telemetry,
               buffer_budget,
               DescriptorBudget(descriptors),
               ListenerLifecycle(max_deadline(config)),
               ClientRequestParser(config, trace_ids),
               std::move(has_endpoints),
               {},
               {}},
      listener_(open_listener(scheduler, config)),
      inbox_(kInboxCapacity) {
  if (draining) {
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
    // Lets the tasks of the accepted connections run, so that they read their clients' first bytes.
    if (round % kAcceptBatch == 0 || !context_.descriptor_budget.has_capacity()) {
      co_await sleep_for(0ms);
    }
    // While no descriptor is free, no connection is accepted, and clients wait in the backlog.
    if (!context_.descriptor_budget.has_capacity()) {
      co_await await_descriptor();
      continue;
    }
    const TimePoint deadline = Clock::now() + kAcceptTimeout;
    const IoResult io = co_await listener_->accept(deadline, fd, remote, &shutdown_started_);
    if (io == IoResult::kOk) {
      accept_client(std::move(fd), remote);
    } else if (io == IoResult::kError) {
      // Avoids a busy loop if accept() keeps failing, for example when the system has no
      // descriptors left.
      co_await sleep_for(kRetryInterval);
    }
  }
  co_await accept_backlog();
  listener_.reset();  // From now on the kernel rejects connections instead of queueing them.
}

// Waits for endpoints before accepting from an inherited socket, because another process may be
// able to serve its clients meanwhile.
Task<> ClientListener::await_endpoints() {
  while (config_.inherited_listener_fd && !context_.has_endpoints() &&
         !context_.lifecycle.is_shutting_down()) {
    co_await sleep_for(kRetryInterval);
  }
}

// Accepts the clients in the backlog, which would otherwise be reset when the listener closes. No
// other task runs between the last accept and the close. The backlog of an inherited socket is left
// to the other processes that hold the socket.
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
    // epoll has rejected the descriptor, so the client is disconnected.
    log::fault("connection_let_go", error);
  }
}

Task<> ClientListener::sleep_for(Clock::duration duration) {
  runtime::Wait wait(context_.scheduler);
  wait.until(Clock::now() + duration);
  co_await wait;
}

// ---- Eviction

// Evicts a client without an outstanding response. Waits until any connection ends, for at most
// kRetryInterval.
Task<> ClientListener::await_descriptor() {
  evict_one();
  runtime::Wait wait(context_.scheduler);
  wait.notified(context_.connection_closed).until(Clock::now() + kRetryInterval);
  co_await wait;
}

// Requests the close of one connection. Goes through the phases in the order of Phase and takes the
// first phase with a connection that is old enough to be evicted; in that phase it closes the
// connection that has been there longest. Connections that became idle less than kMinIdleAge ago
// are not evicted while there are new connections younger than kMinNewAge. So many silent clients
// do not displace active ones, and clients that keep idle connections open do not block new ones.
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
    // The descriptor is released when the connection has closed.
    (*victim)->request_close(EndReason::kEvicted);
  }
}

// ---- Lifecycle

Task<> ClientListener::run_lifecycle() {
  // While `listener_` is set, its backlog may hold clients that must still be served.
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
