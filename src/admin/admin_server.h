// The HTTP server for operators: one call to a connection. Each command goes to the actor that owns
// its state, and is answered once that actor has carried it out. The server's descriptors are its
// own, so that a listener full of clients never keeps an operator waiting.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "admin/command.h"
#include "hot_restart/hot_restart_actor.h"
#include "net/socket.h"
#include "proxy/messages.h"
#include "proxy/telemetry.h"

namespace beechhill::admin {

/// Connections open at a time. Further ones wait in the backlog until one ends, or the oldest that
/// has not sent a complete call is closed.
inline constexpr std::size_t kMaxConnections = 16;

/// Carries out the commands on membership and maintenance and completes `reply`, with a body. Null
/// where this process is not in a cluster: these commands are unknown then.
using ClusterHandler =
    std::function<void(const Command& command, std::shared_ptr<runtime::PendingTextReply> reply)>;

/// Runs on the scheduler's thread.
class AdminServer {
 public:
  /// Listens on `address`. All that is referred to must outlive the server. `class_names` are by
  /// ClassId; `is_ready` gives the answer to "/api/ready". Throws std::system_error where the
  /// address cannot be listened on.
  AdminServer(runtime::Scheduler& scheduler, const sockaddr_in& address,
              proxy::DecisionMailbox& decisions,
              hot_restart::OperatorCommandMailbox& operator_commands,
              const proxy::Telemetry& telemetry, const std::vector<std::string>& class_names,
              std::function<bool()> is_ready, ClusterHandler cluster_handler = {});

  /// The address that is listened on, with the port that the system chose for port 0.
  sockaddr_in address() const { return listener_.address(); }

  /// Accepts and serves connections; never returns.
  runtime::Task<> run();

 private:
  struct Connection {
    Connection(runtime::Scheduler& scheduler, net::FileDescriptor fd)
        : stream(scheduler, std::move(fd)) {}
    net::Stream stream;
    runtime::Notifier eviction;
    runtime::TimePoint accepted_at = runtime::Clock::now();
    bool awaits_request = true;  // until its call is read to the end
  };

  runtime::Task<net::IoResult> accept_connection();
  runtime::Task<> run_connection(std::shared_ptr<Connection> connection);
  runtime::Task<> serve(Connection& connection);
  runtime::Task<std::string> respond(const std::string& method, const std::string& target);
  runtime::Task<std::string> change_state(const Command& command, const std::string& target);
  runtime::Task<std::string> report_telemetry();
  runtime::Task<std::string> ask_cluster(const Command& command);
  bool evict_connection();

  runtime::Scheduler& scheduler_;
  proxy::DecisionMailbox& decisions_;
  hot_restart::OperatorCommandMailbox& operator_commands_;
  const proxy::Telemetry& telemetry_;
  const std::vector<std::string>& class_names_;
  const std::function<bool()> is_ready_;
  const ClusterHandler cluster_handler_;
  net::Listener listener_;
  std::list<std::shared_ptr<Connection>> connections_;  // the oldest first
  runtime::Notifier connection_ended_;
};

}  // namespace beechhill::admin
