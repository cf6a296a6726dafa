// Membership of this process in a cluster of proxies: gossip and coordinated maintenance. Disabled
// unless the operator file enables it, and absent from builds without BEECHHILL_CLUSTER.
#pragma once

#include <functional>
#include <memory>

#include "admin/admin_server.h"
#include "config/operator_file.h"
#include "proxy/decision_actor.h"
#include "proxy/telemetry.h"

namespace beechhill::bootstrap {

/// This process's membership of the cluster. Must be used on the scheduler's thread.
class Cluster {
 public:
  virtual ~Cluster() = default;
  /// Returns a handler for operators' calls on membership and maintenance. It must not be called
  /// after the cluster is destroyed.
  virtual admin::ClusterHandler admin_handler() = 0;
  /// Reloads the membership keys from the file that `settings` names. Does not throw: if the keys
  /// cannot be read, logs the error and keeps the current keys.
  virtual void reload(const config::OperatorSettings& settings) = 0;
  /// Notifies the other members that this process is shutting down.
  virtual void leave() = 0;
};

/// Dependencies of a cluster. Every referenced object must outlive the cluster.
struct ClusterDependencies {
  runtime::Scheduler& scheduler;
  const config::Config& config;
  const config::OperatorSettings& settings;
  proxy::DecisionActor& decisions;
  hot_restart::OperatorCommandMailbox& operator_commands;
  const proxy::Telemetry& telemetry;
  /// Returns whether a graceful shutdown of this process has begun.
  std::function<bool()> is_shutting_down;
};

/// Joins the cluster and spawns its actors. Returns null if `settings` do not enable membership.
/// Throws std::runtime_error or std::system_error with a description if joining fails.
std::unique_ptr<Cluster> join_cluster(const ClusterDependencies& dependencies);

}  // namespace beechhill::bootstrap
