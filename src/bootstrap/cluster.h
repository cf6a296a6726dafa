// This process as a member of a cluster of proxies: gossip membership and coordinated maintenance.
// Off unless the operator file enables it; a build without BEECHHILL_CLUSTER has none.
#pragma once

#include <functional>
#include <memory>

#include "admin/admin_server.h"
#include "config/operator_file.h"
#include "proxy/decision_actor.h"
#include "proxy/telemetry.h"

namespace beechhill::bootstrap {

/// The cluster as the rest of the process sees it. Used on the scheduler's thread alone.
class Cluster {
 public:
  virtual ~Cluster() = default;
  /// Answers operators' calls on membership and maintenance. Valid as long as the cluster.
  virtual admin::ClusterHandler admin_handler() = 0;
  /// Reads the membership keys again from the file that `settings` names. Never throws: keys that
  /// cannot be read are logged and those in use are kept.
  virtual void reload(const config::OperatorSettings& settings) = 0;
  /// Notifies the other members that this process ends.
  virtual void leave() = 0;
};

/// What a cluster works with. All that is referred to must outlive it.
struct ClusterDependencies {
  runtime::Scheduler& scheduler;
  const config::Config& config;
  const config::OperatorSettings& settings;
  proxy::DecisionActor& decisions;
  hot_restart::OperatorCommandMailbox& operator_commands;
  const proxy::Telemetry& telemetry;
  /// Whether the planned end of this process has begun.
  std::function<bool()> is_shutting_down;
};

/// Joins the cluster and spawns its actors. Null where `settings` do not enable membership. Throws
/// std::runtime_error or std::system_error, saying what is wrong, where it cannot join.
std::unique_ptr<Cluster> join_cluster(const ClusterDependencies& dependencies);

}  // namespace beechhill::bootstrap
