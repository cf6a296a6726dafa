// Tests of the recovery tracker with simulated time.
#include "recovery/recovery_tracker.h"

#include <gtest/gtest.h>

#include <chrono>

namespace beechhill::recovery {
namespace {

using std::chrono::milliseconds;

constexpr Time kStart{1'000'000};
constexpr Duration kDrainGrace = milliseconds(300);
constexpr Duration kWatchSilence = milliseconds(2500);

RecoveryTracker ready_tracker() {
  RecoveryTracker tracker(kStart, kDrainGrace, kWatchSilence, false);
  tracker.on_endpoint_update();
  return tracker;
}

TEST(RecoveryTracker, IsReadyWithTheFirstList) {
  RecoveryTracker tracker(kStart, kDrainGrace, kWatchSilence, false);
  EXPECT_EQ(tracker.stage(), Stage::kNoEndpoints);
  tracker.on_endpoint_update();
  EXPECT_EQ(tracker.stage(), Stage::kReady);
  EXPECT_TRUE(tracker.ready());
}

// The list from the configuration is not used before discovery has sent its own list or the resync
// deadline has passed.
TEST(RecoveryTracker, ResynchronizesAtAStartWithAList) {
  RecoveryTracker tracker(kStart, kDrainGrace, kWatchSilence, true);
  EXPECT_EQ(tracker.stage(), Stage::kResyncing);
  EXPECT_TRUE(tracker.is_resyncing(kStart));
  EXPECT_FALSE(tracker.endpoints_are_current(kStart));
  EXPECT_FALSE(tracker.ready());
  tracker.on_endpoint_update();  // the first of several updates in the resync
  EXPECT_FALSE(tracker.ready());
  tracker.on_resync_complete();
  EXPECT_EQ(tracker.stage(), Stage::kReady);
  EXPECT_TRUE(tracker.ready() && tracker.endpoints_are_current(kStart));
}

TEST(RecoveryTracker, UsesItsInitialListAfterTheDeadline) {
  RecoveryTracker tracker(kStart, kDrainGrace, kWatchSilence, true);
  EXPECT_LE(tracker.resync_deadline(), kStart + milliseconds(250));
  EXPECT_FALSE(tracker.is_resyncing(tracker.resync_deadline()));
  EXPECT_EQ(tracker.stage(), Stage::kResyncing);  // discovery has still not sent its list
  EXPECT_TRUE(tracker.ready());
  EXPECT_TRUE(tracker.observe_clock(kStart + milliseconds(1000)));
  EXPECT_TRUE(tracker.ready());  // a pause after the start does not reset readiness
}

TEST(RecoveryTracker, DetectsNoPauseBetweenRegularObservations) {
  RecoveryTracker tracker = ready_tracker();
  for (Time now = kStart; now < kStart + milliseconds(5000);
       now += tracker.observation_interval()) {
    EXPECT_FALSE(tracker.observe_clock(now));
    EXPECT_TRUE(tracker.endpoints_are_current(now + tracker.observation_interval()));
  }
}

// The process must be able to act within the drain grace on an update that discovery sends when the
// pause begins, so the list counts as out of date after half of the grace.
TEST(RecoveryTracker, TreatsItsListAsOutOfDateAfterHalfTheDrainGrace) {
  RecoveryTracker tracker = ready_tracker();
  // The list is out of date even before observe_clock() detects the pause.
  EXPECT_FALSE(tracker.endpoints_are_current(kStart + milliseconds(151)));
  EXPECT_FALSE(tracker.observe_clock(kStart + milliseconds(149)));
  const Time resumed = kStart + milliseconds(149 + 151);
  EXPECT_TRUE(tracker.observe_clock(resumed));
  EXPECT_FALSE(tracker.endpoints_are_current(resumed));
  EXPECT_TRUE(tracker.is_resyncing(resumed));
  EXPECT_EQ(tracker.stage(), Stage::kResyncing);
  tracker.on_endpoint_update();  // the first of several updates in the resync
  EXPECT_FALSE(tracker.endpoints_are_current(resumed));
  tracker.on_resync_complete();
  EXPECT_TRUE(tracker.endpoints_are_current(resumed));
  EXPECT_EQ(tracker.stage(), Stage::kReady);
}

TEST(RecoveryTracker, UsesItsListAfterTheDeadlineWithoutDiscovery) {
  RecoveryTracker tracker = ready_tracker();
  const Time resumed = kStart + milliseconds(1000);
  EXPECT_TRUE(tracker.observe_clock(resumed));
  EXPECT_LE(tracker.resync_deadline(), resumed + kDrainGrace);
  EXPECT_TRUE(tracker.is_resyncing(tracker.resync_deadline() - Duration(1)));
  EXPECT_FALSE(tracker.is_resyncing(tracker.resync_deadline()));
  EXPECT_TRUE(tracker.endpoints_are_current(resumed));
  EXPECT_EQ(tracker.stage(), Stage::kResyncing);  // discovery has still not sent its list
  tracker.on_endpoint_update();
  EXPECT_EQ(tracker.stage(), Stage::kReady);
}

TEST(RecoveryTracker, NeedsASnapshotOnlyAfterAPauseAsLongAsTheWatchSilence) {
  RecoveryTracker tracker = ready_tracker();
  EXPECT_TRUE(tracker.observe_clock(kStart + milliseconds(2000)));
  EXPECT_FALSE(tracker.needs_snapshot());
  tracker.on_resync_complete();
  EXPECT_TRUE(tracker.observe_clock(kStart + milliseconds(5000)));
  EXPECT_TRUE(tracker.needs_snapshot());
}

// A second pause during a resync moves the deadline. Clock readings that stand still or go back are
// not taken for a pause.
TEST(RecoveryTracker, ExtendsTheDeadlineAtAPauseDuringAResync) {
  RecoveryTracker tracker = ready_tracker();
  EXPECT_TRUE(tracker.observe_clock(kStart + milliseconds(1000)));
  const Time first_deadline = tracker.resync_deadline();
  EXPECT_TRUE(tracker.observe_clock(kStart + milliseconds(2000)));
  EXPECT_GT(tracker.resync_deadline(), first_deadline);
  EXPECT_TRUE(tracker.is_resyncing(first_deadline + Duration(1)));
  tracker.on_resync_complete();
  EXPECT_FALSE(tracker.observe_clock(kStart));
  EXPECT_FALSE(tracker.observe_clock(kStart + milliseconds(2000)));
}

TEST(RecoveryTracker, DoesNotResynchronizeWithoutAList) {
  RecoveryTracker tracker(kStart, kDrainGrace, kWatchSilence, false);
  EXPECT_FALSE(tracker.observe_clock(kStart + milliseconds(9000)));
  EXPECT_EQ(tracker.stage(), Stage::kNoEndpoints);
}

TEST(RecoveryTracker, DetectsAPauseAfterASecondWithoutADrainGrace) {
  RecoveryTracker tracker(kStart, Duration{0}, kWatchSilence, true);
  EXPECT_FALSE(tracker.observe_clock(kStart + milliseconds(900)));
  EXPECT_TRUE(tracker.observe_clock(kStart + milliseconds(2000)));
}

}  // namespace
}  // namespace beechhill::recovery
