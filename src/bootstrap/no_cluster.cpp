// Replaces cluster.cpp in builds without BEECHHILL_CLUSTER.
#include "bootstrap/cluster.h"

namespace beechhill::bootstrap {

std::unique_ptr<Cluster> join_cluster(const ClusterDependencies& /*dependencies*/) {
  // Membership is never enabled here, as reading the operator file fails in these builds if
  // membership.listen is set.
  return nullptr;
}

}  // namespace beechhill::bootstrap
