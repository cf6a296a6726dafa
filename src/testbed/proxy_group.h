// The real proxies of a load test, with all that their processes need: ports, configuration, state
// directories, and a cluster where the scenario has one.
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

/// Must outlive the scheduler's run.
class ProxyGroup {
 public:
  /// For `scenario.proxies` processes of `program`, none of them started yet. Throws
  /// std::invalid_argument where the scenario needs a cluster and this build has none.
  ProxyGroup(runtime::Scheduler& scheduler, const emulator::Scenario& scenario,
             const std::string& program, FakeServices& services);

  /// Starts all; ends when each reports that it is ready. Throws std::runtime_error where one does
  /// not come up.
  runtime::Task<> start();
  /// A graceful shutdown of all at once. Blocks.
  void shut_down();

  std::size_t size() const { return processes_.size(); }
  ProxyProcess& process(std::size_t proxy) { return *processes_[proxy]; }
  const ProxyProcess& process(std::size_t proxy) const { return *processes_[proxy]; }
  /// Only where the scenario's proxies keep state.
  StateDirectoryFaults& state_directory(std::size_t proxy) { return *state_directories_[proxy]; }
  /// Null where the scenario has none.
  ClusterDeployment* cluster() { return cluster_.get(); }
  std::vector<sockaddr_in> addresses() const;
  /// Of the operators' interface, by proxy; empty where there is no cluster.
  std::vector<sockaddr_in> admin_addresses() const;

 private:
  void add_state_directories();
  std::string operator_file(std::size_t proxy) const;

  runtime::Scheduler& scheduler_;
  const emulator::Scenario& scenario_;
  experiments::TempDirectory directory_;
  std::vector<ReservedPort> ports_;  // stay reserved while a proxy is away
  std::vector<ReservedPort> admin_ports_;
  std::vector<std::unique_ptr<StateDirectoryFaults>> state_directories_;  // by proxy, or empty
  std::unique_ptr<ClusterDeployment> cluster_;
  std::vector<std::unique_ptr<ProxyProcess>> processes_;
};

}  // namespace beechhill::testbed
