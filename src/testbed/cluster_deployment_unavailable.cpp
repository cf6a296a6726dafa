// ClusterDeployment in a build without BEECHHILL_CLUSTER: the constructor always throws.
#include <stdexcept>

#include "testbed/cluster_deployment.h"

namespace beechhill::testbed {

// Never instantiated; completes the type of the pointer in the header.
class DatagramFaultProxy {};

ClusterDeployment::ClusterDeployment(runtime::Scheduler&, const emulator::Scenario& scenario,
                                     const experiments::TempDirectory&, std::vector<std::string>)
    : scenario_(scenario) {
  throw std::invalid_argument("group: not supported by this build, which lacks BEECHHILL_CLUSTER");
}

ClusterDeployment::~ClusterDeployment() = default;

std::string ClusterDeployment::operator_file_tables(std::size_t) const {
  return {};
}

void ClusterDeployment::apply(const emulator::FaultSpec&, const std::vector<std::uint32_t>&,
                              FaultPhase) {
}

}  // namespace beechhill::testbed
