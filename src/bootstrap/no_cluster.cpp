#include "bootstrap/cluster.h"

namespace beechhill::bootstrap {

std::unique_ptr<Cluster> join_cluster(const ClusterDependencies&) {
  return nullptr;
}  // the operator file's reader has refused anything else

}  // namespace beechhill::bootstrap
