// The real proxies of a load test and the resources that their processes need: ports,
// configuration, state directories and, if the scenario has one, a cluster.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "emulator/scenario.h"
#include "experiments/temp_folder.h"
#include "runtime/scheduler.h"
#include "testbed/cluster_deployment.h"
#include "testbed/fake_services.h"
#include "testbed/proxy_process.h"
#include "testbed/reserved_port.h"
#include "testbed/state_directory_faults.h"

namespace beechhill::testbed {

/// The proxies of one run. Must outlive the scheduler's run.
class ProxyGroup {
 public:
  /// Prepares `scenario.proxies` processes of `program` without starting them. Throws
  /// std::invalid_argument if the scenario needs a cluster and this build does not support
  /// clusters.
  ProxyGroup(runtime::Scheduler& scheduler, const emulator::Scenario& scenario,
             const std::string& program, FakeServices& services);

  /// Starts all proxies and completes when each one reports that it is ready. Throws
  /// std::runtime_error if one does not become ready.
  runtime::Task<> start();
  /// Shuts down all proxies gracefully at the same time. Blocks until they have exited.
  void shut_down();

  std::size_t size() const { return processes_.size(); }
  ProxyProcess& process(std::size_t proxy) { return *processes_[proxy]; }
  const ProxyProcess& process(std::size_t proxy) const { return *processes_[proxy]; }
  /// Must only be called if the scenario's proxies keep state on disk.
  StateDirectoryFaults& state_directory(std::size_t proxy) { return *state_directories_[proxy]; }
  /// Returns null if the scenario has no cluster.
  ClusterDeployment* cluster() { return cluster_.get(); }
  std::vector<sockaddr_in> addresses() const;
  /// Addresses of the operator interface, indexed by proxy; empty if there is no cluster.
  std::vector<sockaddr_in> admin_addresses() const;

 private:
  void add_state_directories();
  std::string operator_file(std::size_t proxy) const;

  runtime::Scheduler& scheduler_;
  const emulator::Scenario& scenario_;
  experiments::TempDirectory directory_;
  std::vector<ReservedPort> ports_;  // remain reserved while a proxy is down
  std::vector<ReservedPort> admin_ports_;
  // Indexed by proxy; empty if no state is kept.
  std::vector<std::unique_ptr<StateDirectoryFaults>> state_directories_;
  std::unique_ptr<ClusterDeployment> cluster_;
  std::vector<std::unique_ptr<ProxyProcess>> processes_;
};

}  // namespace beechhill::testbed
