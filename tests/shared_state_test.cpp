// Tests the state that processes share during a hot restart, and the directory that stores it.
#include "hot_restart/shared_state.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/file.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

#include "hot_restart/shared_state_directory.h"
#include "support/proxy_fixture.h"

namespace beechhill::hot_restart {
namespace {

using test::TemporaryDirectory;

SharedState sample() {
  SharedState state;
  state.generation = 7;
  apply(state, StateChange::kExclude, "s-1");
  apply(state, StateChange::kExclude, "s \"2\"\n");
  apply(state, StateChange::kDrain, "");
  return state;
}

TEST(SharedState, AppliesChangesIdempotently) {
  SharedState state = sample();
  apply(state, StateChange::kExclude, "s-1");
  EXPECT_TRUE(state.drained);
  EXPECT_EQ(state.excluded_backends.size(), 2U);
  apply(state, StateChange::kInclude, "s-1");
  apply(state, StateChange::kInclude, "s-1");
  apply(state, StateChange::kResume, "");
  EXPECT_FALSE(state.drained);
  EXPECT_EQ(state.excluded_backends.size(), 1U);
}

TEST(SharedState, DecodesWhatItEncodes) {
  EXPECT_EQ(decode(encode(sample())), sample());
}

TEST(SharedState, IsRejectedWhenTruncatedAnywhere) {
  const std::string text = encode(sample());
  for (std::size_t size = 0; size < text.size(); ++size) {
    EXPECT_FALSE(decode(text.substr(0, size))) << "cut to " << size << " bytes";
  }
}

TEST(SharedState, IsRejectedWithAnyByteChanged) {
  const std::string text = encode(sample());
  for (std::size_t position = 0; position < text.size(); ++position) {
    std::string changed = text;
    changed[position] ^= 1;
    EXPECT_FALSE(decode(changed)) << "changed at " << position;
  }
}

TEST(SharedState, IsRejectedWithMoreOrOtherText) {
  EXPECT_FALSE(decode(encode(sample()) + "x"));
  EXPECT_FALSE(decode("{}\n123\n"));
}

class SharedStateDirectoryTest : public testing::Test {
 protected:
  std::string file(const std::string& suffix) const { return folder_.file("beechhill-t" + suffix); }

  const TemporaryDirectory folder_;
};

TEST_F(SharedStateDirectoryTest, SharesChangesBetweenProcesses) {
  SharedStateDirectory first(folder_.path, "t");
  SharedStateDirectory second(folder_.path, "t");
  EXPECT_EQ(first.state().generation, 1U);
  EXPECT_EQ(second.state().generation, 2U);
  EXPECT_TRUE(second.try_apply(StateChange::kExclude, "s-1"));
  EXPECT_FALSE(second.refresh());
  EXPECT_TRUE(first.refresh());
  EXPECT_EQ(first.state(), second.state());
  EXPECT_TRUE(first.state().excluded_backends.contains("s-1"));
}

TEST_F(SharedStateDirectoryTest, DistinguishesSuccessorsFromPredecessors) {
  SharedStateDirectory first(folder_.path, "t");
  EXPECT_EQ(first.process_group_status().alive, 0);
  {
    SharedStateDirectory second(folder_.path, "t");
    first.refresh();
    first.publish(true, 3);
    EXPECT_FALSE(first.process_group_status().successor);  // the second process is not ready yet
    second.publish(true, 4);
    EXPECT_TRUE(first.process_group_status().successor);
    EXPECT_FALSE(first.process_group_status().predecessor);
    EXPECT_EQ(first.process_group_status().descriptors, 4U);
    EXPECT_TRUE(second.process_group_status().predecessor);
    EXPECT_FALSE(second.process_group_status().successor);
    EXPECT_EQ(second.process_group_status().descriptors, 3U);
  }
  EXPECT_EQ(first.process_group_status().alive, 0);
}

TEST_F(SharedStateDirectoryTest, AppliesNothingWhileAnotherHoldsTheLock) {
  SharedStateDirectory directory(folder_.path, "t");
  const net::FileDescriptor lock(::open(file(".lock").c_str(), O_RDWR | O_CLOEXEC));
  ASSERT_EQ(::flock(lock.get(), LOCK_EX | LOCK_NB), 0);
  EXPECT_FALSE(directory.try_apply(StateChange::kDrain, ""));
  EXPECT_FALSE(directory.state().drained);
}

TEST_F(SharedStateDirectoryTest, SetsADamagedStateAsideAndKeepsItsOwn) {
  SharedStateDirectory directory(folder_.path, "t");
  ASSERT_TRUE(directory.try_apply(StateChange::kDrain, ""));
  std::ofstream(file(".state")) << "other bytes";
  EXPECT_TRUE(directory.refresh());
  EXPECT_TRUE(directory.state().drained);
  EXPECT_FALSE(std::filesystem::exists(file(".state")));
  EXPECT_TRUE(std::filesystem::exists(file(".state.faulty")));
}

TEST_F(SharedStateDirectoryTest, ThrowsIfTheDirectoryIsMissing) {
  EXPECT_THROW(SharedStateDirectory(folder_.path + "/missing", "t"), std::system_error);
}

}  // namespace
}  // namespace beechhill::hot_restart
