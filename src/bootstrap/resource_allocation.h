// How the file descriptors and the body memory of the process's limits are divided.
#pragma once

#include <cstddef>

#include "config/config.h"
#include "hot_restart/shared_state_directory.h"

namespace beechhill::bootstrap {

/// Descriptors that neither clients nor backends hold: standard streams, epoll, signals, listeners,
/// discovery and the operators' connections.
std::size_t reserved_descriptors();

/// Divides the descriptors for connections between clients and backends.
class DescriptorAllocation {
 public:
  /// `available`: descriptors for connections of both kinds.
  explicit DescriptorAllocation(std::size_t available) : available_(available) {}

  std::size_t for_clients() const;
  std::size_t for_backends() const { return available_ - for_clients(); }
  /// The allocation of this process while `others` of the same proxy live: together they stay
  /// within one process's limit, but for a minimum that each process has.
  DescriptorAllocation beside(
      const hot_restart::SharedStateDirectory::ProcessGroupStatus& others) const;

 private:
  std::size_t available_;
};

/// All descriptors for connections under the configured limit.
DescriptorAllocation allocate_descriptors(const config::Config& config);

/// Bytes that streamed bodies may hold at a time, with or without other processes beside this one.
std::size_t body_memory_bytes(const config::Config& config, bool shared_with_others);

}  // namespace beechhill::bootstrap
