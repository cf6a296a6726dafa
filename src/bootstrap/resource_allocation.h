// Divides the process's limits on file descriptors and memory between their uses and between the
// processes of one proxy.
#pragma once

#include <cstddef>

#include "config/config.h"
#include "hot_restart/shared_state_directory.h"

namespace beechhill::bootstrap {

/// Returns the number of descriptors reserved for uses other than client and backend connections:
/// standard streams, epoll, signals, listeners, discovery and operators' connections.
std::size_t reserved_descriptors();

/// The numbers of descriptors that one process may use for client and for backend connections.
class DescriptorAllocation {
 public:
  /// `available`: the number of descriptors for client and backend connections together.
  explicit DescriptorAllocation(std::size_t available) : available_(available) {}

  std::size_t for_clients() const;
  std::size_t for_backends() const { return available_ - for_clients(); }
  /// Returns the allocation of this process while `others`, the other processes of the same proxy,
  /// are running. All processes together stay within the limit of one process, except that each has
  /// a guaranteed minimum.
  DescriptorAllocation shared_with(
      const hot_restart::SharedStateDirectory::ProcessGroupStatus& others) const;

 private:
  std::size_t available_;
};

/// Returns the allocation for a process that runs alone under the configured limit.
DescriptorAllocation allocate_descriptors(const config::Config& config);

/// Returns the maximum number of bytes that streamed bodies may occupy in this process at a time.
/// `shared_with_others`: whether other processes of the same proxy are running.
std::size_t body_memory_bytes(const config::Config& config, bool shared_with_others);

}  // namespace beechhill::bootstrap
