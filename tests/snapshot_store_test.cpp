// Tests snapshots on disk: one file per process name, and a writer that does not block its caller.
#include "snapshot/snapshot_store.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <semaphore>

#include "support/proxy_fixture.h"

namespace beechhill::test {
namespace {

using snapshot::Snapshot;
using snapshot::SnapshotStore;

class SnapshotStoreTest : public testing::Test {
 protected:
  std::string file() const { return folder_.file("beechhill-t.snapshot"); }

  const TemporaryDirectory folder_;
};

TEST_F(SnapshotStoreTest, RejectsASecondProcessOfTheSameName) {
  SnapshotStore store(folder_.path, "t", "f");
  EXPECT_FALSE(store.load(1000ms));
  EXPECT_THROW(SnapshotStore(folder_.path, "t", "f"), std::runtime_error);
}

TEST_F(SnapshotStoreTest, ThrowsIfTheDirectoryIsMissing) {
  EXPECT_THROW(SnapshotStore(folder_.path + "/missing", "t", "f"), std::runtime_error);
}

TEST_F(SnapshotStoreTest, DestructorWritesThePendingSnapshot) {
  {
    SnapshotStore store(folder_.path, "t", "f");
    store.save_async({{"s-1", 0ms, 900ms, {10, 0.5, 0, 0}}}, {"s-7"}, 1000ms);
  }
  SnapshotStore store(folder_.path, "t", "f");
  const std::optional<Snapshot> found = store.load(2000ms);
  ASSERT_TRUE(found);
  EXPECT_EQ(found->incarnation, 1U);
  EXPECT_EQ(found->records.size(), 1U);
}

TEST_F(SnapshotStoreTest, KeepsOnlyExclusionsOfASnapshotThatIsTooOld) {
  {
    SnapshotStore store(folder_.path, "t", "f");
    store.save_async({{"s-1", 0ms, 900ms, {10, 0.5, 0, 0}}}, {"s-7"}, 1000ms);
  }
  SnapshotStore store(folder_.path, "t", "f");
  const std::optional<Snapshot> old = store.load(10h);
  ASSERT_TRUE(old);
  EXPECT_TRUE(old->records.empty());
  EXPECT_TRUE(old->excluded_backends.contains("s-7"));
  EXPECT_FALSE(std::filesystem::exists(file()));
  EXPECT_TRUE(std::filesystem::exists(file() + ".aside"));
}

TEST_F(SnapshotStoreTest, CountsIncarnations) {
  for (const std::uint64_t incarnation : {1U, 2U, 3U}) {
    {
      SnapshotStore store(folder_.path, "t", "f");
      store.load(1000ms);
      store.save_async({}, {}, 1000ms);
    }
    const std::optional<Snapshot> written = snapshot::decode(read_file(file()));
    ASSERT_TRUE(written);
    EXPECT_EQ(written->incarnation, incarnation);
  }
}

// A disk on which each write hangs until it is released, and then fails because the disk is full.
struct HangingDisk {
  void wait_for_write(int number) const {
    const auto deadline = Clock::now() + kTestTimeout;
    while (writes < number && Clock::now() < deadline) {
      ::usleep(1000);
    }
    ASSERT_GE(writes, number);
  }

  std::counting_semaphore<8> released{0};
  std::atomic<int> writes = 0;
};

TEST_F(SnapshotStoreTest, NeverBlocksOnADiskThatHangs) {
  // Ownership is shared because the writer thread may outlive the store.
  const auto disk = std::make_shared<HangingDisk>();
  {
    SnapshotStore store(folder_.path, "t", "f", [disk](const std::string&, const std::string&) {
      ++disk->writes;
      disk->released.acquire();
      return std::make_error_code(std::errc::no_space_on_device);
    });
    store.save_async({}, {}, 1ms);
    disk->wait_for_write(1);
    for (int i = 0; i < 1000; ++i) {
      store.save_async({}, {}, 2ms);  // this loop would block if save_async() waited for the disk
    }
    EXPECT_EQ(disk->writes, 1);
    disk->released.release();
    disk->wait_for_write(2);  // the second write is of the latest pending snapshot only
  }
  EXPECT_EQ(disk->writes, 2);
  disk->released.release(4);
  EXPECT_FALSE(std::filesystem::exists(file()));
}

}  // namespace
}  // namespace beechhill::test
