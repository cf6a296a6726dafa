// ClusterDeployment in a build without BEECHHILL_CLUSTER: it cannot be made.
#include <stdexcept>

#include "testbed/cluster_deployment.h"

namespace beechhill::testbed {

// Never made; completes the type that the header's pointer owns.
class DatagramFaultProxy {};

ClusterDeployment::ClusterDeployment(runtime::Scheduler&, const emulator::Scenario& scenario,
                                     const experiments::TempDirectory&, std::vector<std::string>)
    : scenario_(scenario) {
  throw std::invalid_argument("group: this build has no membership (BEECHHILL_CLUSTER)");
}

ClusterDeployment::~ClusterDeployment() = default;

std::string ClusterDeployment::operator_file_tables(std::size_t) const {
  return {};
}

void ClusterDeployment::apply(const emulator::FaultSpec&, const std::vector<std::uint32_t>&,
                              FaultPhase) {
}

}  // namespace beechhill::testbed
