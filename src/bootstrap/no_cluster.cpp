// The build without BEECHHILL_CLUSTER: a proxy is never a member of a cluster.
#include "bootstrap/cluster.h"

namespace beechhill::bootstrap {

std::unique_ptr<Cluster> join_cluster(const ClusterDependencies& /*dependencies*/) {
  // The operator file's reader rejects membership.listen in this build.
  return nullptr;
}

}  // namespace beechhill::bootstrap
