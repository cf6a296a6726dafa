// The way back after a start and after a gap, as a state machine.
#include <gtest/gtest.h>

#include "recovery/recovery_tracker.h"

namespace beechhill::recovery {
namespace {

using std::chrono::milliseconds;

constexpr Time kStart{1'000'000};
constexpr Duration kGrace = milliseconds(300), kSilence = milliseconds(2500);

RecoveryTracker full() {
  RecoveryTracker c(kStart, kGrace, kSilence, false);
  c.on_endpoint_update();
  return c;
}

TEST(RecoveryTracker, GoesFromEmptyOverHearingToFull) {
  RecoveryTracker empty(kStart, kGrace, kSilence, false);
  EXPECT_EQ(empty.stage(), Stage::kNoEndpoints);
  empty.on_endpoint_update();
  EXPECT_EQ(empty.stage(), Stage::kReady);
  EXPECT_TRUE(empty.ready());
}

// What an agent holds counts as told from a process's first moment: the list of its configuration
// decides nothing before discovery has spoken, or has not for long enough.
TEST(RecoveryTracker, AStartWithAListHearsDiscoveryFirst) {
  RecoveryTracker held(kStart, kGrace, kSilence, true);
  EXPECT_EQ(held.stage(), Stage::kResyncing);
  EXPECT_TRUE(held.is_resyncing(kStart));
  EXPECT_FALSE(held.endpoints_are_current(kStart));
  EXPECT_FALSE(held.ready());
  held.on_endpoint_update();  // one line of several
  EXPECT_FALSE(held.ready());
  held.on_resync_complete();
  EXPECT_EQ(held.stage(), Stage::kReady);
  EXPECT_TRUE(held.ready() && held.endpoints_are_current(kStart));
  RecoveryTracker unheard(kStart, kGrace, kSilence, true);
  EXPECT_LE(unheard.resync_deadline(), kStart + milliseconds(250));
  EXPECT_FALSE(unheard.is_resyncing(unheard.resync_deadline()));
  EXPECT_EQ(unheard.stage(), Stage::kResyncing);  // on with what it holds, and it says so
  EXPECT_TRUE(unheard.ready());
  EXPECT_TRUE(unheard.observe_clock(kStart + milliseconds(1000)));
  EXPECT_TRUE(unheard.ready());  // a gap later on takes nobody out of use
}

TEST(RecoveryTracker, ABeatThatIsKeptIsNoGap) {
  RecoveryTracker c = full();
  for (Time at = kStart; at < kStart + milliseconds(5000); at += c.observation_interval()) {
    EXPECT_FALSE(c.observe_clock(at));
    EXPECT_TRUE(c.endpoints_are_current(at + c.observation_interval()));
  }
}

// News written as the gap began must still be acted on within the grace: it ends what is held at
// half of it.
TEST(RecoveryTracker, AGapOfHalfTheGraceEndsWhatIsHeld) {
  RecoveryTracker c = full();
  EXPECT_FALSE(
      c.endpoints_are_current(kStart + milliseconds(151)));  // also where nobody has looked yet
  EXPECT_FALSE(c.observe_clock(kStart + milliseconds(149)));
  const Time back = kStart + milliseconds(149 + 151);
  EXPECT_TRUE(c.observe_clock(back));
  EXPECT_FALSE(c.endpoints_are_current(back));
  EXPECT_TRUE(c.is_resyncing(back));
  EXPECT_EQ(c.stage(), Stage::kResyncing);
  c.on_endpoint_update();  // one line of several
  EXPECT_FALSE(c.endpoints_are_current(back));
  c.on_resync_complete();
  EXPECT_TRUE(c.endpoints_are_current(back));
  EXPECT_EQ(c.stage(), Stage::kReady);
}

TEST(RecoveryTracker, NobodyIsStuckWhereDiscoveryIsGone) {
  RecoveryTracker c = full();
  const Time back = kStart + milliseconds(1000);
  EXPECT_TRUE(c.observe_clock(back));
  EXPECT_LE(c.resync_deadline(), back + kGrace);
  EXPECT_TRUE(c.is_resyncing(c.resync_deadline() - Duration(1)));
  EXPECT_FALSE(c.is_resyncing(c.resync_deadline()));
  EXPECT_TRUE(c.endpoints_are_current(back));
  EXPECT_EQ(c.stage(), Stage::kResyncing);  // on with what it holds, and it says so
  c.on_endpoint_update();
  EXPECT_EQ(c.stage(), Stage::kReady);
}

TEST(RecoveryTracker, AsksAnewOnlyAfterAGapThatAWatchCannotOutlast) {
  RecoveryTracker c = full();
  EXPECT_TRUE(c.observe_clock(kStart + milliseconds(2000)));
  EXPECT_FALSE(c.needs_snapshot());
  c.on_resync_complete();
  EXPECT_TRUE(c.observe_clock(kStart + milliseconds(5000)));
  EXPECT_TRUE(c.needs_snapshot());
}

// A second gap on the way back begins the wait again; a clock that stands still or goes back makes
// none.
TEST(RecoveryTracker, GapsOnTheWayBackAndOddClocks) {
  RecoveryTracker c = full();
  EXPECT_TRUE(c.observe_clock(kStart + milliseconds(1000)));
  const Time first = c.resync_deadline();
  EXPECT_TRUE(c.observe_clock(kStart + milliseconds(2000)));
  EXPECT_GT(c.resync_deadline(), first);
  EXPECT_TRUE(c.is_resyncing(first + Duration(1)));
  c.on_resync_complete();
  EXPECT_FALSE(c.observe_clock(kStart));
  EXPECT_FALSE(c.observe_clock(kStart + milliseconds(2000)));
}

// With nothing held there is nothing to doubt.
TEST(RecoveryTracker, AnEmptyProcessHasNoWayBack) {
  RecoveryTracker c(kStart, kGrace, kSilence, false);
  EXPECT_FALSE(c.observe_clock(kStart + milliseconds(9000)));
  EXPECT_EQ(c.stage(), Stage::kNoEndpoints);
}

TEST(RecoveryTracker, WithoutAGraceASecondCounts) {
  RecoveryTracker c(kStart, Duration{0}, kSilence, true);
  EXPECT_FALSE(c.observe_clock(kStart + milliseconds(900)));
  EXPECT_TRUE(c.observe_clock(kStart + milliseconds(2000)));
}

}  // namespace
}  // namespace beechhill::recovery
