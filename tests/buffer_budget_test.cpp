// Tests of the accounting for buffers, and of the pipes that use it.
#include "proxy/buffer_budget.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "proxy/body_pipe.h"

namespace beechhill::proxy {
namespace {

constexpr std::size_t kLimit = 100'000;

TEST(BufferBudget, CountsEachUsageUntilItIsDestroyed) {
  BufferBudget budget(kLimit);
  {
    BufferBudget::Usage request(budget, BufferKind::kRequest, 60'000);
    BufferBudget::Usage response(budget, BufferKind::kResponse);
    response.set(30'000);
    EXPECT_TRUE(budget.has_capacity());
    response.set(40'000);
    EXPECT_FALSE(budget.has_capacity());
    EXPECT_EQ(budget.used(BufferKind::kRequest), 60'000U);
    request = std::move(response);
    EXPECT_EQ(budget.used(), 40'000U);
  }
  EXPECT_EQ(budget.used(), 0U);
  EXPECT_EQ(budget.peak(), kLimit);
}

TEST(BufferBudget, ReadsLessAtATimeWhileTheLimitIsReached) {
  BufferBudget budget(kLimit);
  const std::size_t& max_read_bytes = budget.max_read_bytes();
  EXPECT_EQ(max_read_bytes, net::Stream::kMaxReadBytes);
  const BufferBudget::Usage usage(budget, BufferKind::kUpload, kLimit);
  EXPECT_EQ(max_read_bytes, BufferBudget::kGuaranteedBytes);
  budget.set_limit(kLimit + 1);
  EXPECT_EQ(max_read_bytes, net::Stream::kMaxReadBytes);
}

// Bytes that the reader had taken and not yet written were not counted.
TEST(BodyPipe, CountsBytesUntilTheReaderReleasesThem) {
  BufferBudget budget(kLimit);
  BodyPipe pipe(budget, BufferKind::kUpload);
  std::string bytes(50'000, 'x');
  pipe.push(bytes);
  std::string taken = pipe.take();
  EXPECT_GE(budget.used(), 50'000U);
  release_memory(taken);
  pipe.release();
  EXPECT_LT(budget.used(), 100U);
}

TEST(BodyPipe, CanBeReadFromItsStartAfterPutBack) {
  BufferBudget budget(kLimit);
  BodyPipe pipe(budget, BufferKind::kUpload);
  std::string bytes = "first ";
  pipe.push(bytes);
  std::string taken = pipe.take();
  bytes = "second";
  pipe.push(bytes);
  pipe.put_back(std::move(taken));
  EXPECT_FALSE(pipe.reading_started());
  EXPECT_EQ(pipe.take(), "first second");
}

TEST(BodyPipe, HoldsOnlyTheGuaranteedSizeWhileTheLimitIsReached) {
  BufferBudget budget(kLimit);
  BodyPipe pipe(budget, BufferKind::kDownload);
  std::string bytes(BufferBudget::kGuaranteedBytes, 'x');
  pipe.push(bytes);
  EXPECT_FALSE(pipe.full());
  const BufferBudget::Usage usage(budget, BufferKind::kResponse, kLimit);
  EXPECT_TRUE(pipe.full());
}

}  // namespace
}  // namespace beechhill::proxy
