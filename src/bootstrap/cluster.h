// This process among the other proxies: membership, and machines taken out by agreement. Off unless
// the operator file says so; a build without BEECHHILL_CLUSTER has none.
#pragma once

#include <functional>
#include <memory>

#include "admin/admin_server.h"
#include "config/operator_file.h"
#include "proxy/decision_actor.h"

namespace beechhill::bootstrap {

class Cluster {
 public:
  virtual ~Cluster() = default;
  virtual admin::ClusterHandler admin_handler() = 0;                  // for the operators' door
  virtual void reload(const config::OperatorSettings& settings) = 0;  // takes over keys
  virtual void leave() = 0;                                           // at the process's end
};

struct ClusterDependencies {  // must outlive the group
  runtime::Scheduler& scheduler;
  const config::Config& config;
  const config::OperatorSettings& settings;
  proxy::DecisionActor& decisions;
  hot_restart::OperatorCommandMailbox& orders;
  const proxy::Telemetry& telemetry;
  std::function<bool()> ending;
};
// Its actors are spawned. Null where it is off. Throws std::exception that says what is wrong.
std::unique_ptr<Cluster> join_cluster(const ClusterDependencies& parts);

}  // namespace beechhill::bootstrap
