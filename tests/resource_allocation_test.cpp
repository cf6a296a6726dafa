// Tests of dividing the process's limits, alone and with other processes of the same proxy running.
#include "bootstrap/resource_allocation.h"

#include <gtest/gtest.h>

namespace beechhill::bootstrap {
namespace {

using ProcessGroupStatus = hot_restart::SharedStateDirectory::ProcessGroupStatus;

ProcessGroupStatus others_with(int alive, std::uint32_t descriptors) {
  ProcessGroupStatus status;
  status.alive = alive;
  status.descriptors = descriptors;
  return status;
}

TEST(DescriptorAllocation, GivesClientsAndBackendsAllDescriptors) {
  const DescriptorAllocation allocation(200);
  EXPECT_EQ(allocation.for_clients(), 110U);
  EXPECT_EQ(allocation.for_backends(), 90U);
}

TEST(DescriptorAllocation, IsUnchangedWithoutOtherProcesses) {
  const DescriptorAllocation allocation =
      DescriptorAllocation(200).shared_with(others_with(0, 150));
  EXPECT_EQ(allocation.for_clients() + allocation.for_backends(), 200U);
}

TEST(DescriptorAllocation, LeavesOthersWhatTheyHoldAndAReserve) {
  const DescriptorAllocation allocation = DescriptorAllocation(200).shared_with(others_with(1, 60));
  EXPECT_EQ(allocation.for_clients() + allocation.for_backends(), 120U);
}

TEST(DescriptorAllocation, KeepsAMinimumHoweverMuchOthersHold) {
  const DescriptorAllocation allocation =
      DescriptorAllocation(200).shared_with(others_with(1, 10'000));
  EXPECT_EQ(allocation.for_clients() + allocation.for_backends(), 50U);
}

TEST(DescriptorAllocation, FitsTheLowestConfiguredLimit) {
  config::Config config;
  config.max_descriptors = 64;
  const DescriptorAllocation allocation = allocate_descriptors(config);
  EXPECT_EQ(allocation.for_clients() + allocation.for_backends() + reserved_descriptors(), 64U);
}

TEST(BodyMemory, IsASixthOfTheLimitAndHalfOfThatWithOtherProcesses) {
  config::Config config;
  config.memory_mb = 192;
  EXPECT_EQ(body_memory_bytes(config, false), std::size_t{32} * 1024 * 1024);
  EXPECT_EQ(body_memory_bytes(config, true), std::size_t{16} * 1024 * 1024);
}

}  // namespace
}  // namespace beechhill::bootstrap
