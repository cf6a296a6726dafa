// Sets up a cluster for a load test, whose proxies exchange gossip and coordinate maintenance: the
// cluster's key, the voters' initial storage, the proxies' settings, and a network between the
// proxies that supports fault injection.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "emulator/scenario.h"
#include "experiments/temp_folder.h"
#include "runtime/scheduler.h"
#include "testbed/fault_injector.h"

namespace beechhill::testbed {

class DatagramFaultProxy;

/// Returns the name of a proxy in its configuration and in the cluster.
std::string proxy_name(std::size_t proxy);

/// The resources of one cluster. Must outlive the scheduler's run. In a build without
/// BEECHHILL_CLUSTER the constructor throws std::invalid_argument.
class ClusterDeployment {
 public:
  /// Writes the cluster's key into `directory` and the voters' initial storage into their state
  /// directories. `state_directories` has one path for each proxy.
  ClusterDeployment(runtime::Scheduler& scheduler, const emulator::Scenario& scenario,
                    const experiments::TempDirectory& directory,
                    std::vector<std::string> state_directories);
  ~ClusterDeployment();
  ClusterDeployment(const ClusterDeployment&) = delete;
  ClusterDeployment& operator=(const ClusterDeployment&) = delete;

  /// Returns the [membership] and [maintenance] tables of a proxy's operator file.
  std::string operator_file_tables(std::size_t proxy) const;
  /// Begins or ends a fault of the network between proxies, whose kind must satisfy
  /// emulator::affects_gossip(). For a partition, `affected` holds the proxies on one side.
  void apply(const emulator::FaultSpec& fault, const std::vector<std::uint32_t>& affected,
             FaultPhase phase);

 private:
  void set_partitioned(const emulator::FaultSpec& fault, const std::vector<std::uint32_t>& affected,
                       bool partitioned);

  const emulator::Scenario& scenario_;
  const std::string key_file_;
  const std::vector<std::string> state_directories_;
  std::unique_ptr<DatagramFaultProxy> network_;
};

}  // namespace beechhill::testbed
