// Tests the operations on files in which a process stores its state.
#include <fcntl.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <string>
#include <system_error>

#include "storage/file.h"
#include "support/proxy_fixture.h"

namespace beechhill::storage {
namespace {

class StorageFile : public testing::Test {
 protected:
  std::string path() const { return folder_.file("state"); }

  const test::TemporaryDirectory folder_;
};

TEST_F(StorageFile, IsReadAsItWasWritten) {
  // The text is longer than one read chunk and contains a zero byte.
  const std::string text = std::string(100'000, 'x') + '\0' + "end";
  for (const Durability durability : {Durability::kProcessCrash, Durability::kMachineCrash}) {
    ASSERT_FALSE(replace_file(path(), text, durability));
    EXPECT_EQ(read_file(path(), 200'000), text);
    ASSERT_FALSE(replace_file(path(), "new", durability));
    EXPECT_EQ(read_file(path(), 200'000), "new");
  }
  EXPECT_FALSE(std::filesystem::exists(path() + ".new"));
}

TEST_F(StorageFile, IsReadUpToTheSizeLimit) {
  ASSERT_FALSE(replace_file(path(), std::string(100'000, 'x'), Durability::kProcessCrash));
  EXPECT_EQ(read_file(path(), 99'999), std::string(99'999, 'x'));
  EXPECT_EQ(read_file(path(), 0), "");
}

TEST_F(StorageFile, ReadReturnsNothingForAMissingFile) {
  EXPECT_EQ(read_file(path(), 10), std::nullopt);
}

TEST_F(StorageFile, IsAccessibleOnlyToItsOwner) {
  ASSERT_FALSE(replace_file(path(), "text", Durability::kProcessCrash));
  using std::filesystem::perms;
  EXPECT_EQ(std::filesystem::status(path()).permissions(), perms::owner_read | perms::owner_write);
}

TEST_F(StorageFile, KeepsItsContentIfItCannotBeReplaced) {
  ASSERT_FALSE(replace_file(path(), "old", Durability::kMachineCrash));
  std::filesystem::create_directory(path() + ".new");
  EXPECT_EQ(replace_file(path(), "new", Durability::kMachineCrash),
            std::make_error_code(std::errc::is_a_directory));
  EXPECT_EQ(read_file(path(), 10), "old");
}

TEST_F(StorageFile, ReportsAMissingDirectory) {
  EXPECT_EQ(replace_file(path() + "/missing/file", "text", Durability::kProcessCrash),
            std::make_error_code(std::errc::no_such_file_or_directory));
}

TEST_F(StorageFile, IsLockedUntilTheDescriptorIsClosed) {
  const net::FileDescriptor second = open_file(path(), O_RDWR | O_CREAT);
  {
    const net::FileDescriptor first = open_file(path(), O_RDWR | O_CREAT);
    ASSERT_TRUE(first);
    EXPECT_TRUE(try_lock(first));
    EXPECT_FALSE(try_lock(second));
  }
  EXPECT_TRUE(try_lock(second));
}

}  // namespace
}  // namespace beechhill::storage
