#include "bootstrap/resource_allocation.h"

#include <algorithm>

#include "admin/admin_server.h"

namespace beechhill::bootstrap {
namespace {

constexpr std::size_t kOwnDescriptors = 24;
constexpr std::size_t kClientPercent = 55;
// A process may always use 1/4 of its descriptors, regardless of how many the other processes of
// the same proxy hold.
constexpr std::size_t kMinimumDivisor = 4;
// While other processes of the same proxy are running, 1/10 of the descriptors is left
// unallocated, as the other processes may open more before they publish their status again.
constexpr std::size_t kReserveDivisor = 10;
// Streamed bodies may use 1/6 of the memory; the rest is for buffered requests and the program.
constexpr std::size_t kBodyMemoryDivisor = 6;
constexpr std::size_t kBytesPerMegabyte = std::size_t{1024} * 1024;

}  // namespace

std::size_t reserved_descriptors() {
  return kOwnDescriptors + admin::kMaxConnections;
}

std::size_t DescriptorAllocation::for_clients() const {
  return available_ * kClientPercent / 100;
}

DescriptorAllocation DescriptorAllocation::shared_with(
    const hot_restart::SharedStateDirectory::ProcessGroupStatus& others) const {
  if (others.alive == 0) {
    return *this;
  }
  const std::size_t taken = others.descriptors + available_ / kReserveDivisor;
  const std::size_t left = available_ > taken ? available_ - taken : 0;
  return DescriptorAllocation(std::max(available_ / kMinimumDivisor, left));
}

DescriptorAllocation allocate_descriptors(const config::Config& config) {
  return DescriptorAllocation(config.max_descriptors - reserved_descriptors());
}

std::size_t body_memory_bytes(const config::Config& config, bool shared_with_others) {
  const std::size_t bytes = config.memory_mb * kBytesPerMegabyte / kBodyMemoryDivisor;
  return shared_with_others ? bytes / 2 : bytes;
}

}  // namespace beechhill::bootstrap
