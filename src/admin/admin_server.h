// HTTP server for operators, with one call (an HTTP request) per connection. Each command is sent
// to the actor that owns the affected state and answered after that actor has executed it.
// Descriptors are reserved for the server, so operators can connect even if clients use all of the
// descriptors for client connections.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "admin/command.h"
#include "hot_restart/hot_restart_actor.h"
#include "net/socket.h"
#include "proxy/buffer_budget.h"
#include "proxy/messages.h"
#include "proxy/telemetry.h"

namespace beechhill::admin {

/// Maximum number of open connections. Further connections wait in the backlog until one closes or
/// the oldest one that has not sent a complete call is evicted.
inline constexpr std::size_t kMaxConnections = 16;

/// Executes commands on membership and maintenance and completes `reply` with a body. If it is
/// null, this process is not in a cluster and these commands are answered with status 404.
using ClusterHandler =
    std::function<void(const Command& command, std::shared_ptr<runtime::PendingTextReply> reply)>;

/// Accepts operators' connections and answers their calls. Must be used on the scheduler's thread.
class AdminServer {
 public:
  /// Listens on `address`. All referenced objects must outlive the server. `class_names` is indexed
  /// by ClassId; `is_ready` determines the answer to "/api/ready". Throws std::system_error if the
  /// server cannot listen on the address.
  AdminServer(runtime::Scheduler& scheduler, const sockaddr_in& address,
              proxy::DecisionMailbox& decisions,
              hot_restart::OperatorCommandMailbox& operator_commands,
              const proxy::Telemetry& telemetry, const proxy::BufferBudget& buffers,
              const proxy::TraceIdTable& trace_ids, const std::vector<std::string>& class_names,
              std::function<bool()> is_ready, ClusterHandler cluster_handler = {});

  /// Returns the listening address, with the port that the system chose if port 0 was given.
  sockaddr_in address() const { return listener_.address(); }

  /// Accepts and serves connections. Never returns.
  runtime::Task<> run();

 private:
  struct Connection {
    Connection(runtime::Scheduler& scheduler, net::FileDescriptor fd)
        : stream(scheduler, std::move(fd)) {}
    net::Stream stream;
    runtime::Notifier eviction;
    runtime::TimePoint accepted_at = runtime::Clock::now();
    bool awaits_request = true;  // false once the call has been read completely
  };

  runtime::Task<net::IoResult> accept_connection();
  runtime::Task<> run_connection(std::shared_ptr<Connection> connection);
  runtime::Task<> serve(Connection& connection);
  runtime::Task<std::string> respond(const std::string& method, const std::string& target);
  runtime::Task<std::string> change_state(const Command& command, const std::string& target);
  runtime::Task<std::string> report_telemetry();
  runtime::Task<std::string> forward_to_cluster(const Command& command);
  bool evict_connection();

  runtime::Scheduler& scheduler_;
  proxy::DecisionMailbox& decisions_;
  hot_restart::OperatorCommandMailbox& operator_commands_;
  const proxy::Telemetry& telemetry_;
  const proxy::BufferBudget& buffers_;
  const proxy::TraceIdTable& trace_ids_;
  const std::vector<std::string>& class_names_;
  const std::function<bool()> is_ready_;
  const ClusterHandler cluster_handler_;
  net::Listener listener_;
  std::list<std::shared_ptr<Connection>> connections_;  // sorted by age, the oldest first
  runtime::Notifier connection_ended_;
};

}  // namespace beechhill::admin
