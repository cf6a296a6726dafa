// A TCP proxy on loopback that injects network faults: partitions, delays and resets.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "net/socket.h"
#include "runtime/scheduler.h"

namespace beechhill::testbed {

/// Accepts connections on its own address and forwards them to one backend. Must outlive the
/// scheduler's run.
class TcpFaultProxy {
 public:
  TcpFaultProxy(runtime::Scheduler& scheduler, const sockaddr_in& backend);
  std::string address_text() const { return net::to_string(listener_.address()); }

  /// Partitions or heals each direction. While a direction is partitioned, bytes and connection
  /// closures are held; they are forwarded once it is healed.
  void set_partitioned(bool to_backend, bool from_backend);
  /// Sets the delay in each direction of bytes that are read after the call.
  void set_delay(runtime::Clock::duration delay) { delay_ = delay; }
  /// Closes all current connections.
  void reset_connections();

 private:
  enum class Direction { kToBackend, kFromBackend };
  struct Connection;
  runtime::Task<> accept();
  runtime::Task<> connect(net::FileDescriptor accepted);
  runtime::Task<> forward(std::shared_ptr<Connection> connection, Direction direction);
  runtime::Task<> wait_until_forwardable(const Connection& connection, const bool& partitioned,
                                         runtime::TimePoint due);

  runtime::Scheduler& scheduler_;
  sockaddr_in backend_;
  net::Listener listener_;
  std::set<std::shared_ptr<Connection>> connections_;
  bool to_backend_partitioned_ = false;
  bool from_backend_partitioned_ = false;
  runtime::Clock::duration delay_{0};
};

}  // namespace beechhill::testbed
