// The recovery tracker, driven by a clock of the test's own.
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

// The list of the configuration decides nothing before discovery has sent its own, or the deadline
// has passed.
TEST(RecoveryTracker, ResynchronizesAtAStartWithAList) {
  RecoveryTracker tracker(kStart, kDrainGrace, kWatchSilence, true);
  EXPECT_EQ(tracker.stage(), Stage::kResyncing);
  EXPECT_TRUE(tracker.is_resyncing(kStart));
  EXPECT_FALSE(tracker.endpoints_are_current(kStart));
  EXPECT_FALSE(tracker.ready());
  tracker.on_endpoint_update();  // one update of several
  EXPECT_FALSE(tracker.ready());
  tracker.on_resync_complete();
  EXPECT_EQ(tracker.stage(), Stage::kReady);
  EXPECT_TRUE(tracker.ready() && tracker.endpoints_are_current(kStart));
}

TEST(RecoveryTracker, GoesOnAtAStartWithAListAtTheDeadline) {
  RecoveryTracker tracker(kStart, kDrainGrace, kWatchSilence, true);
  EXPECT_LE(tracker.resync_deadline(), kStart + milliseconds(250));
  EXPECT_FALSE(tracker.is_resyncing(tracker.resync_deadline()));
  EXPECT_EQ(tracker.stage(), Stage::kResyncing);  // goes on with the list that it holds
  EXPECT_TRUE(tracker.ready());
  EXPECT_TRUE(tracker.observe_clock(kStart + milliseconds(1000)));
  EXPECT_TRUE(tracker.ready());  // a later pause does not change that
}

TEST(RecoveryTracker, SeesNoPauseBetweenRegularObservations) {
  RecoveryTracker tracker = ready_tracker();
  for (Time now = kStart; now < kStart + milliseconds(5000);
       now += tracker.observation_interval()) {
    EXPECT_FALSE(tracker.observe_clock(now));
    EXPECT_TRUE(tracker.endpoints_are_current(now + tracker.observation_interval()));
  }
}

// An update that was written as the pause began must still be acted on within the drain grace: the
// list is out of date after half of it.
TEST(RecoveryTracker, HoldsNoCurrentListAfterHalfTheDrainGrace) {
  RecoveryTracker tracker = ready_tracker();
  // Also before the pause is observed.
  EXPECT_FALSE(tracker.endpoints_are_current(kStart + milliseconds(151)));
  EXPECT_FALSE(tracker.observe_clock(kStart + milliseconds(149)));
  const Time resumed = kStart + milliseconds(149 + 151);
  EXPECT_TRUE(tracker.observe_clock(resumed));
  EXPECT_FALSE(tracker.endpoints_are_current(resumed));
  EXPECT_TRUE(tracker.is_resyncing(resumed));
  EXPECT_EQ(tracker.stage(), Stage::kResyncing);
  tracker.on_endpoint_update();  // one update of several
  EXPECT_FALSE(tracker.endpoints_are_current(resumed));
  tracker.on_resync_complete();
  EXPECT_TRUE(tracker.endpoints_are_current(resumed));
  EXPECT_EQ(tracker.stage(), Stage::kReady);
}

TEST(RecoveryTracker, GoesOnWithoutDiscoveryAtTheDeadline) {
  RecoveryTracker tracker = ready_tracker();
  const Time resumed = kStart + milliseconds(1000);
  EXPECT_TRUE(tracker.observe_clock(resumed));
  EXPECT_LE(tracker.resync_deadline(), resumed + kDrainGrace);
  EXPECT_TRUE(tracker.is_resyncing(tracker.resync_deadline() - Duration(1)));
  EXPECT_FALSE(tracker.is_resyncing(tracker.resync_deadline()));
  EXPECT_TRUE(tracker.endpoints_are_current(resumed));
  EXPECT_EQ(tracker.stage(), Stage::kResyncing);  // goes on with the list that it holds
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

// A clock that stands still or goes back makes no pause.
TEST(RecoveryTracker, RestartsTheWaitAtAPauseWithinAResync) {
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

TEST(RecoveryTracker, HasNothingToResynchronizeWithoutAList) {
  RecoveryTracker tracker(kStart, kDrainGrace, kWatchSilence, false);
  EXPECT_FALSE(tracker.observe_clock(kStart + milliseconds(9000)));
  EXPECT_EQ(tracker.stage(), Stage::kNoEndpoints);
}

TEST(RecoveryTracker, SeesAPauseAfterASecondWithoutADrainGrace) {
  RecoveryTracker tracker(kStart, Duration{0}, kWatchSilence, true);
  EXPECT_FALSE(tracker.observe_clock(kStart + milliseconds(900)));
  EXPECT_TRUE(tracker.observe_clock(kStart + milliseconds(2000)));
}

}  // namespace
}  // namespace beechhill::recovery
