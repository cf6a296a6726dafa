// Tests that files that processes leave for one another stay readable across versions. The files in
// tests/data/ were written by an earlier version. Each is decoded and compared field by field,
// and encoding the same content must produce the same bytes.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/file.h>

#include <filesystem>
#include <limits>

#include "hot_restart/shared_state_directory.h"
#include "snapshot/snapshot_store.h"
#include "support/proxy_fixture.h"

namespace beechhill::test {
namespace {

using hot_restart::SharedState;
using hot_restart::SharedStateDirectory;
using hot_restart::StateChange;
using snapshot::EndpointRecord;
using snapshot::Snapshot;
using snapshot::SnapshotStore;

constexpr std::uint64_t kMaxCounter = std::numeric_limits<std::uint64_t>::max();

const std::string kSnapshotData = TEST_DATA "/snapshot/";
const std::string kHotRestartData = TEST_DATA "/hot_restart/";

void expect_equal(const EndpointRecord& actual, const EndpointRecord& expected) {
  EXPECT_EQ(actual.host, expected.host);
  EXPECT_EQ(actual.started_at, expected.started_at);
  EXPECT_EQ(actual.recorded_at, expected.recorded_at);
  EXPECT_EQ(actual.stats.weighted_rates, expected.stats.weighted_rates);
  EXPECT_EQ(actual.stats.weighted_utilizations, expected.stats.weighted_utilizations);
  EXPECT_EQ(actual.stats.weighted_latency_ratios, expected.stats.weighted_latency_ratios);
  EXPECT_EQ(actual.stats.response_weight, expected.stats.response_weight);
}

TEST(StoredSnapshot, ReadsEveryFieldOfThePreviousVersion) {
  const std::optional<Snapshot> read = snapshot::decode(read_file(kSnapshotData + "full.snapshot"));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->name, "proxy/1");
  EXPECT_EQ(read->settings_fingerprint, "z/0/ver/ajuste");
  EXPECT_EQ(read->incarnation, kMaxCounter);
  EXPECT_EQ(read->written_at, 1'764'633'600'123ms);
  EXPECT_EQ(read->excluded_backends, (std::set<std::string>{"s-9", "s \"10\""}));
  ASSERT_EQ(read->records.size(), 3U);
  expect_equal(read->records[0],
               {"s-1", 1'764'630'000'001ms, 1'764'633'599'000ms, {12.25, 0.5, 3, 2}});
  expect_equal(read->records[1], {"s \"2\"\n\xc3\xa9", 0ms, 1ms, {0, 0, 0, 0}});
  // The statistics of this record were written from 1234567.89, 0.123456789, 1/3 and 2/3 with six
  // significant digits.
  expect_equal(read->records[2],
               {"s-3", -5ms, 1'764'633'598'765ms, {1.23457e+06, 0.123457, 0.333333, 0.666667}});
}

TEST(StoredSnapshot, ReadsAnEmptySnapshotOfThePreviousVersion) {
  const std::optional<Snapshot> read =
      snapshot::decode(read_file(kSnapshotData + "empty.snapshot"));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->name, "");
  EXPECT_EQ(read->settings_fingerprint, "");
  EXPECT_EQ(read->incarnation, 0U);
  EXPECT_EQ(read->written_at, 0ms);
  EXPECT_TRUE(read->records.empty());
  EXPECT_TRUE(read->excluded_backends.empty());
}

TEST(StoredSnapshot, WritesTheSameBytesForTheSameContent) {
  const Snapshot full{
      "proxy/1",
      "z/0/ver/ajuste",
      kMaxCounter,
      1'764'633'600'123ms,
      {{"s-1", 1'764'630'000'001ms, 1'764'633'599'000ms, {12.25, 0.5, 3, 2}},
       {"s \"2\"\n\xc3\xa9", 0ms, 1ms, {}},
       {"s-3", -5ms, 1'764'633'598'765ms, {1234567.89, 0.123456789, 1.0 / 3, 2.0 / 3}}},
      {"s-9", "s \"10\""}};
  EXPECT_EQ(snapshot::encode(full), read_file(kSnapshotData + "full.snapshot"));
  EXPECT_EQ(snapshot::encode({}), read_file(kSnapshotData + "empty.snapshot"));
}

TEST(StoredSnapshot, StoreReadsTheFileOfThePreviousVersion) {
  const TemporaryDirectory folder;
  std::filesystem::copy(kSnapshotData + "beechhill-site_t.snapshot", folder.path);
  SnapshotStore store(folder.path, "site/t", "z/0/ver");
  const std::optional<Snapshot> read = store.load(1'000'000ms);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->name, "site/t");
  EXPECT_EQ(read->settings_fingerprint, "z/0/ver");
  EXPECT_EQ(read->incarnation, 1U);
  EXPECT_EQ(read->written_at, 1'000'000ms);
  EXPECT_EQ(read->excluded_backends, std::set<std::string>{"s-9"});
  ASSERT_EQ(read->records.size(), 1U);
  expect_equal(read->records[0], {"s-1", 5ms, 999'000ms, {12.25, 0.5, 3, 2}});
}

TEST(StoredSnapshot, StoreWritesTheSameFileForTheSameContent) {
  const TemporaryDirectory folder;
  {
    SnapshotStore store(folder.path, "site/t", "z/0/ver");
    store.save_async({{"s-1", 5ms, 999'000ms, {12.25, 0.5, 3, 2}}}, {"s-9"}, 1'000'000ms);
  }  // the store's destructor waits for the write
  EXPECT_EQ(read_file(folder.file("beechhill-site_t.snapshot")),
            read_file(kSnapshotData + "beechhill-site_t.snapshot"));
}

TEST(StoredHotRestartState, ReadsEveryFieldOfThePreviousVersion) {
  const auto first = hot_restart::decode(read_file(kHotRestartData + "first_generation.state"));
  ASSERT_TRUE(first);
  EXPECT_EQ(first->generation, 0U);
  EXPECT_FALSE(first->drained);
  EXPECT_TRUE(first->excluded_backends.empty());
  const auto drained = hot_restart::decode(read_file(kHotRestartData + "drained.state"));
  ASSERT_TRUE(drained);
  EXPECT_EQ(drained->generation, kMaxCounter);
  EXPECT_TRUE(drained->drained);
  EXPECT_EQ(drained->excluded_backends, (std::set<std::string>{"s-1", "s \"2\"\n\xc3\xa9"}));
}

TEST(StoredHotRestartState, WritesTheSameBytesForTheSameContent) {
  EXPECT_EQ(hot_restart::encode({}), read_file(kHotRestartData + "first_generation.state"));
  const SharedState drained{kMaxCounter, true, {"s-1", "s \"2\"\n\xc3\xa9"}};
  EXPECT_EQ(hot_restart::encode(drained), read_file(kHotRestartData + "drained.state"));
}

TEST(StoredHotRestartState, JoinsAProcessOfThePreviousVersion) {
  const TemporaryDirectory folder;
  for (const char* file : {"beechhill-site_t.state", "beechhill-site_t.process-1"}) {
    std::filesystem::copy(kHotRestartData + file, folder.path);
  }
  const net::FileDescriptor predecessor(
      ::open(folder.file("beechhill-site_t.process-1").c_str(), O_RDWR | O_CLOEXEC));
  ASSERT_EQ(::flock(predecessor.get(), LOCK_EX | LOCK_NB), 0);
  const SharedStateDirectory directory(folder.path, "site/t");
  EXPECT_EQ(directory.state().generation, 2U);
  EXPECT_TRUE(directory.state().drained);
  EXPECT_EQ(directory.state().excluded_backends, std::set<std::string>{"s-7"});
  const auto others = directory.process_group_status();
  EXPECT_EQ(others.alive, 1);
  EXPECT_EQ(others.descriptors, 41U);
  EXPECT_TRUE(others.predecessor);
  EXPECT_FALSE(others.successor);
}

TEST(StoredHotRestartState, DirectoryWritesTheSameFilesForTheSameContent) {
  const TemporaryDirectory folder;
  SharedStateDirectory directory(folder.path, "site/t");
  ASSERT_TRUE(directory.try_apply(StateChange::kExclude, "s-7"));
  ASSERT_TRUE(directory.try_apply(StateChange::kDrain, ""));
  directory.publish(true, 41);
  for (const char* file : {"beechhill-site_t.state", "beechhill-site_t.process-1"}) {
    EXPECT_EQ(read_file(folder.file(file)), read_file(kHotRestartData + file)) << file;
  }
}

}  // namespace
}  // namespace beechhill::test
