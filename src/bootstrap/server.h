// The serving process: owns the actors, connects them, reloads the files and shuts down gracefully.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "admin/admin_server.h"
#include "bootstrap/cluster.h"
#include "bootstrap/resource_allocation.h"
#include "bootstrap/restored_state.h"
#include "config/config.h"
#include "config/operator_file.h"
#include "hot_restart/hot_restart_actor.h"
#include "net/socket.h"
#include "proxy/backend_actor.h"
#include "proxy/client_listener.h"
#include "proxy/decision_actor.h"
#include "proxy/endpoint_watch_actor.h"
#include "proxy/telemetry.h"
#include "runtime/scheduler.h"
#include "snapshot/snapshot_store.h"

namespace beechhill::bootstrap {

/// A serving process. All actors run on the thread that calls run().
class Server {
 public:
  /// Starts the actors and listens for clients. `signals` is the descriptor from block_signals();
  /// `config` and `settings` must outlive the server. Throws std::runtime_error or
  /// std::system_error if the server cannot start.
  Server(const config::Config& config, const config::OperatorSettings& settings,
         std::string operator_file, net::FileDescriptor signals);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Serves until a graceful shutdown is complete.
  void run();

 private:
  Server(const config::Config& config, const config::OperatorSettings& settings,
         std::string operator_file, net::FileDescriptor signals, RestoredState restored);

  void start_cluster();
  void start_admin_server();
  std::unique_ptr<proxy::Backend> make_backend(proxy::DecisionMailbox& inbox, EndpointId endpoint,
                                               const sockaddr_in& address);
  bool may_serve() const;
  hot_restart::HotRestartActor::ProcessStatus exchange_status(
      const hot_restart::SharedStateDirectory::ProcessGroupStatus& others);

  runtime::Task<> handle_signals();
  bool begin_shutdown();
  void reload();
  runtime::Task<> run_listener();
  runtime::Task<> save_snapshots_periodically();
  void save_snapshot();
  void log_serving() const;

  const config::Config& config_;
  const config::OperatorSettings& settings_;
  const std::string operator_file_;
  const net::FileDescriptor signals_;
  const DescriptorAllocation descriptors_;

  // The order of the members matters: a member may refer to those declared before it, and is
  // destroyed before they are.
  runtime::Scheduler scheduler_;
  proxy::Telemetry telemetry_;
  proxy::BufferBudget buffer_budget_;
  proxy::TraceIdTable trace_ids_;
  proxy::BackendPool backend_pool_;
  proxy::EndpointWatchActor endpoint_watch_;
  std::unique_ptr<snapshot::SnapshotStore> snapshot_store_;
  proxy::DecisionActor decisions_;
  const runtime::TimePoint discovery_deadline_;
  const bool await_discovery_;
  proxy::ClientListener listener_;
  hot_restart::HotRestartActor hot_restart_;
  std::unique_ptr<Cluster> cluster_;
  std::optional<admin::AdminServer> admin_server_;
};

}  // namespace beechhill::bootstrap
