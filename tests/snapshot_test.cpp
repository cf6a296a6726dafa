// Tests the snapshot format and the rules for using an old snapshot.
#include "snapshot/snapshot.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace beechhill::snapshot {
namespace {

using namespace std::chrono_literals;

Snapshot sample() {
  return {"t",
          "z/0/ver",
          7,
          1'000'000ms,
          {{"s-1", 5ms, 999'000ms, {12.25, 0.5, 3, 2}}, {"s \"2\"", 0ms, 1ms, {}}},
          {"s-9"}};
}

TEST(Snapshot, DecodesWhatItEncodes) {
  const Snapshot snapshot = sample();
  const std::optional<Snapshot> decoded = decode(encode(snapshot));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->name, snapshot.name);
  EXPECT_EQ(decoded->settings_fingerprint, snapshot.settings_fingerprint);
  EXPECT_EQ(decoded->incarnation, 7U);
  EXPECT_EQ(decoded->written_at, snapshot.written_at);
  ASSERT_EQ(decoded->records.size(), 2U);
  EXPECT_EQ(decoded->records[0].stats.weighted_rates, 12.25);
  EXPECT_EQ(decoded->records[0].stats.weighted_latency_ratios, 3);
  EXPECT_EQ(decoded->records[1].host, "s \"2\"");
}

class SnapshotRejection : public testing::Test {
 protected:
  std::optional<RejectionReason> rejection(const char* name, const char* settings_fingerprint,
                                           std::chrono::milliseconds now) const {
    return rejection_reason(snapshot_, name, settings_fingerprint, now);
  }

  const Snapshot snapshot_ = sample();
  const std::chrono::milliseconds written_at_ = snapshot_.written_at;
};

TEST_F(SnapshotRejection, AcceptsARecentSnapshotOfTheSameProcess) {
  EXPECT_EQ(rejection("t", "z/0/ver", written_at_ + 5s), std::nullopt);
  EXPECT_EQ(rejection("t", "z/0/ver", written_at_ - 1s), std::nullopt);
}

TEST_F(SnapshotRejection, RejectsOtherProcessesAndSettings) {
  EXPECT_EQ(rejection("u", "z/0/ver", written_at_), RejectionReason::kOtherProcess);
  EXPECT_EQ(rejection("t", "z/1/ver", written_at_), RejectionReason::kOtherSettings);
}

TEST_F(SnapshotRejection, RejectsFutureAndOldSnapshots) {
  EXPECT_EQ(rejection("t", "z/0/ver", written_at_ - 1min), RejectionReason::kFromTheFuture);
  EXPECT_EQ(rejection("t", "z/0/ver", written_at_ + 1h), RejectionReason::kTooOld);
}

// docs/operators/coming-back.md documents these names, so they must not change.
TEST_F(SnapshotRejection, ReasonsHaveTheDocumentedNames) {
  EXPECT_STREQ(name(RejectionReason::kDamaged), "not_whole");
  EXPECT_STREQ(name(RejectionReason::kOtherProcess), "another_process");
  EXPECT_STREQ(name(RejectionReason::kOtherSettings), "other_settings");
  EXPECT_STREQ(name(RejectionReason::kFromTheFuture), "from_the_future");
  EXPECT_STREQ(name(RejectionReason::kTooOld), "too_old");
}

constexpr EndpointStats kStats{40, 2, 6, 3};

TEST(DiscountedStats, DecayWithAge) {
  const auto fresh = discounted(kStats, 0s, false);
  ASSERT_TRUE(fresh);
  EXPECT_EQ(fresh->weighted_utilizations, 2);
  const auto from_the_future = discounted(kStats, -1s, false);
  ASSERT_TRUE(from_the_future);
  EXPECT_EQ(from_the_future->response_weight, 3);
  const auto minute_old = discounted(kStats, 60s, false);
  ASSERT_TRUE(minute_old);
  EXPECT_LT(std::abs(minute_old->weighted_rates - 40 / std::exp(1)), 1e-9);
  EXPECT_FALSE(discounted(kStats, 10min, false));
}

TEST(DiscountedStats, AreDiscardedForARestartedBackend) {
  EXPECT_FALSE(discounted(kStats, 0s, true));
}

TEST(DiscountedStats, AreDiscardedBeyondTheBalancersLimits) {
  EXPECT_FALSE(discounted({1e9, 2, 0, 0}, 0s, false));
  EXPECT_FALSE(discounted({40, 2, 300, 3}, 0s, false));
}

// Returns whether decode() accepts `text`. Also runs the fuzz target, which aborts if an accepted
// snapshot does not survive being encoded and decoded again.
bool is_accepted(const std::string& text) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
  return decode(text).has_value();
}

TEST(DamagedSnapshot, IsRejectedWhenTruncatedAnywhere) {
  const std::string good = encode(sample());
  ASSERT_TRUE(is_accepted(good));
  for (std::size_t size = 0; size < good.size(); ++size) {
    EXPECT_FALSE(is_accepted(good.substr(0, size))) << "cut to " << size << " bytes";
  }
}

// Flips one random bit of `text` or inserts a copy of a random part.
void damage(std::string& text, std::mt19937& random) {
  const std::size_t position = random() % text.size();
  if (random() % 3 == 0) {
    const std::size_t from = random() % text.size();
    text.insert(position, text.substr(from, random() % 20));
  } else {
    text[position] = static_cast<char>(text[position] ^ (1 << random() % 8));
  }
}

TEST(DamagedSnapshot, IsRejectedAfterRandomMutations) {
  constexpr int kMutations = 100'000;
  const std::string good = encode(sample());
  std::mt19937 random(11);
  for (int i = 0; i < kMutations; ++i) {
    std::string damaged = good;
    for (unsigned n = 1 + random() % 3; n > 0; --n) {
      damage(damaged, random);
    }
    ASSERT_TRUE(damaged == good || !is_accepted(damaged)) << "mutation " << i << ": " << damaged;
  }
}

TEST(DamagedSnapshot, IsRejectedInAnotherVersion) {
  const std::string good = encode(sample());
  std::string older = good;
  older.replace(older.find("\"format\":2"), 10, "\"format\":1");
  EXPECT_FALSE(is_accepted(older));
}

}  // namespace
}  // namespace beechhill::snapshot
