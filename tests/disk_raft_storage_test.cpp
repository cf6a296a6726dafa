// Tests a voter's storage on a real disk: restarts, damaged files and disk failures.
#include "cluster/disk_raft_storage.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "support/proxy_fixture.h"

namespace beechhill::test {
namespace {

using maintenance::DiskRaftStorage;
using maintenance::LogEntry;
using maintenance::LogRecord;
using maintenance::RaftSnapshot;
using maintenance::RaftStorageError;

const std::string kFile = "beechhill-v.agreement";

void wait_until_durable(DiskRaftStorage& storage) {
  const auto deadline = Clock::now() + kTestTimeout;
  while (storage.durable_records() < storage.appended_records()) {
    ASSERT_LT(Clock::now(), deadline);
    ASSERT_FALSE(storage.failed());
    ::usleep(1000);
  }
}

LogRecord entries(std::uint64_t first_index, int count) {
  std::vector<LogEntry> entries;
  entries.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    entries.push_back({1, 1, "entry " + std::to_string(i)});
  }
  return LogRecord::append(first_index, std::move(entries));
}

class DiskRaftStorageTest : public testing::Test {
 protected:
  const TemporaryDirectory directory_;
};

TEST_F(DiskRaftStorageTest, OpenReturnsNullBeforeCreation) {
  EXPECT_FALSE(DiskRaftStorage::open(directory_.path, "v"));
}

TEST_F(DiskRaftStorageTest, IsLockedAgainstOtherProcesses) {
  const auto storage = DiskRaftStorage::create(directory_.path, {"v", 3}, {entries(1, 2)});
  EXPECT_THROW(DiskRaftStorage::open(directory_.path, "v"), RaftStorageError);
}

TEST_F(DiskRaftStorageTest, SurvivesRestarts) {
  {
    const auto storage = DiskRaftStorage::create(directory_.path, {"v", 3}, {entries(1, 2)});
    storage->append(LogRecord::set_term(7));
    storage->append(LogRecord::set_vote(42));
    storage->append(entries(0, 3));
    storage->append(LogRecord::truncate(5));
    wait_until_durable(*storage);
  }
  std::uint64_t appended = 0;
  {
    const auto storage = DiskRaftStorage::open(directory_.path, "v");
    ASSERT_TRUE(storage);
    EXPECT_EQ(storage->voter().generation, 3u);
    EXPECT_EQ(storage->state().term, 7u);
    EXPECT_EQ(storage->state().vote, 42u);
    EXPECT_EQ(storage->state().entries.size(), 4u);
    appended = storage->appended_records();
    // The number of appended records includes the record of the initial term.
    EXPECT_EQ(appended, 6u);
    // A snapshot replaces the file, but the number of appended records continues to increase.
    storage->append(LogRecord::take_snapshot(1, RaftSnapshot{4, 1, 1, {{"v#3", 1}}, "content"}));
    storage->append(entries(0, 1));
    wait_until_durable(*storage);
  }
  const auto storage = DiskRaftStorage::open(directory_.path, "v");
  ASSERT_TRUE(storage);
  EXPECT_EQ(storage->appended_records(), appended + 2);
  ASSERT_TRUE(storage->state().snapshot);
  EXPECT_EQ(storage->state().snapshot->data, "content");
  EXPECT_EQ(storage->state().first_index, 4u);
  EXPECT_EQ(storage->state().entries.size(), 2u);
}

class DamagedRaftStorageTest : public DiskRaftStorageTest {
 protected:
  static constexpr int kSetAside = -1;

  void SetUp() override {
    const auto storage = DiskRaftStorage::create(directory_.path, {"v", 1}, {entries(1, 1)});
    storage->append(entries(0, 1));
    storage->append(entries(0, 1));
    wait_until_durable(*storage);
    good_ = read_file(directory_.file(kFile));
  }

  // Returns the number of entries read from a file with the content `bytes`, or kSetAside if the
  // file was set aside.
  int entries_with(const std::string& bytes) const {
    std::filesystem::remove(directory_.file(kFile) + ".aside");
    std::ofstream(directory_.file(kFile), std::ios::binary | std::ios::trunc) << bytes;
    const auto storage = DiskRaftStorage::open(directory_.path, "v");
    return storage ? static_cast<int>(storage->state().entries.size()) : kSetAside;
  }

  std::string good_;
};

TEST_F(DamagedRaftStorageTest, TruncatesATornLastRecord) {
  EXPECT_EQ(entries_with(good_), 3);
  // The torn record can be dropped, because it never became durable and no message depended on it.
  EXPECT_EQ(entries_with(good_.substr(0, good_.size() - 5)), 2);
}

TEST_F(DamagedRaftStorageTest, IsSetAsideIfValidRecordsFollowTheDamage) {
  std::string damaged = good_;
  // Damages the second of four records.
  damaged[good_.size() / 2] ^= 8;
  EXPECT_EQ(entries_with(damaged), kSetAside);
  EXPECT_TRUE(std::filesystem::exists(directory_.file(kFile) + ".aside"));
}

TEST_F(DamagedRaftStorageTest, NeverReadsADamagedRecord) {
  for (std::size_t i = 0; i < good_.size(); i += 3) {
    std::string damaged = good_;
    damaged[i] ^= 1;
    const int read = entries_with(damaged);
    EXPECT_TRUE(read == kSetAside || read == 2) << "byte " << i << ": " << read;
  }
}

TEST_F(DiskRaftStorageTest, ReportsADiskFailure) {
  const auto storage = DiskRaftStorage::create(directory_.path, {"v", 1}, {entries(1, 1)});
  std::filesystem::remove(directory_.file(kFile));
  // Opening the file for writing fails because there is a directory at its path.
  std::filesystem::create_directory(directory_.file(kFile));
  storage->append(entries(0, 1));
  const auto deadline = Clock::now() + kTestTimeout;
  while (!storage->failed()) {
    ASSERT_LT(Clock::now(), deadline);
    ::usleep(1000);
  }
  EXPECT_LT(storage->durable_records(), storage->appended_records());
}

}  // namespace
}  // namespace beechhill::test
