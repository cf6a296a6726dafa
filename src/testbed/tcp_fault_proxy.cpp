#include "testbed/tcp_fault_proxy.h"

#include "testbed/server_io.h"
#include "testbed/task_helpers.h"

namespace beechhill::testbed {

using net::IoResult;
using runtime::Clock;
using runtime::Task;
using runtime::Wait;

struct TcpFaultProxy::Connection {
  std::unique_ptr<net::Stream> client;
  std::unique_ptr<net::Stream> backend;
  // Notified when the connection is closed, to wake the task that reads from the client and the one
  // that reads from the backend.
  runtime::Notifier client_closed;
  runtime::Notifier backend_closed;
  bool closed = false;

  void close() {
    closed = true;
    client_closed.notify();
    backend_closed.notify();
  }
};

TcpFaultProxy::TcpFaultProxy(runtime::Scheduler& scheduler, const sockaddr_in& backend)
    : scheduler_(scheduler), backend_(backend), listener_(scheduler, any_loopback_port()) {
  scheduler_.spawn(accept());
}

void TcpFaultProxy::set_partitioned(bool to_backend, bool from_backend) {
  to_backend_partitioned_ = to_backend;
  from_backend_partitioned_ = from_backend;
}

void TcpFaultProxy::reset_connections() {
  for (const auto& connection : connections_) {
    connection->close();
  }
}

Task<> TcpFaultProxy::accept() {
  for (;;) {
    net::FileDescriptor accepted;
    sockaddr_in from{};
    const IoResult io = co_await listener_.accept(Clock::now() + kNoTimeout, accepted, from);
    if (io == IoResult::kOk) {
      scheduler_.spawn(connect(std::move(accepted)));
    } else {
      co_await sleep_for(scheduler_, kFaultPollInterval);
    }
  }
}

Task<> TcpFaultProxy::connect(net::FileDescriptor accepted) {
  const auto connection = std::make_shared<Connection>();
  connection->client = std::make_unique<net::Stream>(scheduler_, std::move(accepted));
  while (to_backend_partitioned_) {
    co_await sleep_for(scheduler_, kFaultPollInterval);
  }
  std::unique_ptr<net::Stream> backend =
      co_await net::Stream::connect(scheduler_, backend_, Clock::now() + kNoTimeout);
  if (!backend) {
    co_return;  // closes the client's connection, as none to the backend could be opened
  }
  connection->backend = std::move(backend);
  connections_.insert(connection);
  scheduler_.spawn(forward(connection, Direction::kFromBackend));
  co_await forward(connection, Direction::kToBackend);
}

Task<> TcpFaultProxy::wait_until_forwardable(const Connection& connection, const bool& partitioned,
                                             runtime::TimePoint due) {
  while (!connection.closed && (partitioned || Clock::now() < due)) {
    Wait wait(scheduler_);
    wait.until(partitioned ? Clock::now() + kFaultPollInterval : due);
    co_await wait;
  }
}

Task<> TcpFaultProxy::forward(std::shared_ptr<Connection> connection, Direction direction) {
  const bool to_backend = direction == Direction::kToBackend;
  net::Stream& from = to_backend ? *connection->client : *connection->backend;
  net::Stream& to = to_backend ? *connection->backend : *connection->client;
  runtime::Notifier& closed = to_backend ? connection->client_closed : connection->backend_closed;
  const bool& partitioned = to_backend ? to_backend_partitioned_ : from_backend_partitioned_;
  std::string bytes;
  while (!connection->closed) {
    const IoResult io = co_await from.read(bytes, Clock::now() + kNoTimeout, &closed);
    if (io != IoResult::kOk) {
      break;
    }
    co_await wait_until_forwardable(*connection, partitioned, Clock::now() + delay_);
    if (connection->closed) {
      break;
    }
    const IoResult written = co_await to.write(bytes, Clock::now() + kNoTimeout);
    if (written != IoResult::kOk) {
      break;
    }
    bytes.clear();
  }
  // A partition also holds back the closure of a connection.
  co_await wait_until_forwardable(*connection, partitioned, Clock::now());
  connection->close();
  connections_.erase(connection);
}

}  // namespace beechhill::testbed
