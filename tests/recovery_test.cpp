// The way back after a start and after a gap, as a state machine.
#include <gtest/gtest.h>

#include "recovery/course.h"

namespace beechhill::recovery {
namespace {

using std::chrono::milliseconds;

constexpr Time kStart{1'000'000};
constexpr Duration kGrace = milliseconds(300), kSilence = milliseconds(2500);

Course full() {
  Course c(kStart, kGrace, kSilence, false);
  c.listed();
  return c;
}

TEST(Course, GoesFromEmptyOverHearingToFull) {
  Course empty(kStart, kGrace, kSilence, false);
  EXPECT_EQ(empty.stage(), Stage::kEmpty);
  empty.listed();
  EXPECT_EQ(empty.stage(), Stage::kFull);
  EXPECT_TRUE(empty.ready());
}

// What an agent holds counts as told from a process's first moment: the list of its configuration
// decides nothing before discovery has spoken, or has not for long enough.
TEST(Course, AStartWithAListHearsDiscoveryFirst) {
  Course held(kStart, kGrace, kSilence, true);
  EXPECT_EQ(held.stage(), Stage::kHearing);
  EXPECT_TRUE(held.returning(kStart));
  EXPECT_FALSE(held.current(kStart));
  EXPECT_FALSE(held.ready());
  held.listed();  // one line of several
  EXPECT_FALSE(held.ready());
  held.caught_up();
  EXPECT_EQ(held.stage(), Stage::kFull);
  EXPECT_TRUE(held.ready() && held.current(kStart));
  Course unheard(kStart, kGrace, kSilence, true);
  EXPECT_LE(unheard.hear_by(), kStart + milliseconds(250));
  EXPECT_FALSE(unheard.returning(unheard.hear_by()));
  EXPECT_EQ(unheard.stage(), Stage::kHearing);  // on with what it holds, and it says so
  EXPECT_TRUE(unheard.ready());
  EXPECT_TRUE(unheard.look(kStart + milliseconds(1000)));
  EXPECT_TRUE(unheard.ready());  // a gap later on takes nobody out of use
}

TEST(Course, ABeatThatIsKeptIsNoGap) {
  Course c = full();
  for (Time at = kStart; at < kStart + milliseconds(5000); at += c.beat()) {
    EXPECT_FALSE(c.look(at));
    EXPECT_TRUE(c.current(at + c.beat()));
  }
}

// News written as the gap began must still be acted on within the grace: it ends what is held at
// half of it.
TEST(Course, AGapOfHalfTheGraceEndsWhatIsHeld) {
  Course c = full();
  EXPECT_FALSE(c.current(kStart + milliseconds(151)));  // also where nobody has looked yet
  EXPECT_FALSE(c.look(kStart + milliseconds(149)));
  const Time back = kStart + milliseconds(149 + 151);
  EXPECT_TRUE(c.look(back));
  EXPECT_FALSE(c.current(back));
  EXPECT_TRUE(c.returning(back));
  EXPECT_EQ(c.stage(), Stage::kHearing);
  c.listed();  // one line of several
  EXPECT_FALSE(c.current(back));
  c.caught_up();
  EXPECT_TRUE(c.current(back));
  EXPECT_EQ(c.stage(), Stage::kFull);
}

TEST(Course, NobodyIsStuckWhereDiscoveryIsGone) {
  Course c = full();
  const Time back = kStart + milliseconds(1000);
  EXPECT_TRUE(c.look(back));
  EXPECT_LE(c.hear_by(), back + kGrace);
  EXPECT_TRUE(c.returning(c.hear_by() - Duration(1)));
  EXPECT_FALSE(c.returning(c.hear_by()));
  EXPECT_TRUE(c.current(back));
  EXPECT_EQ(c.stage(), Stage::kHearing);  // on with what it holds, and it says so
  c.listed();
  EXPECT_EQ(c.stage(), Stage::kFull);
}

TEST(Course, AsksAnewOnlyAfterAGapThatAWatchCannotOutlast) {
  Course c = full();
  EXPECT_TRUE(c.look(kStart + milliseconds(2000)));
  EXPECT_FALSE(c.asks_again());
  c.caught_up();
  EXPECT_TRUE(c.look(kStart + milliseconds(5000)));
  EXPECT_TRUE(c.asks_again());
}

// A second gap on the way back begins the wait again; a clock that stands still or goes back makes
// none.
TEST(Course, GapsOnTheWayBackAndOddClocks) {
  Course c = full();
  EXPECT_TRUE(c.look(kStart + milliseconds(1000)));
  const Time first = c.hear_by();
  EXPECT_TRUE(c.look(kStart + milliseconds(2000)));
  EXPECT_GT(c.hear_by(), first);
  EXPECT_TRUE(c.returning(first + Duration(1)));
  c.caught_up();
  EXPECT_FALSE(c.look(kStart));
  EXPECT_FALSE(c.look(kStart + milliseconds(2000)));
}

// With nothing held there is nothing to doubt.
TEST(Course, AnEmptyProcessHasNoWayBack) {
  Course c(kStart, kGrace, kSilence, false);
  EXPECT_FALSE(c.look(kStart + milliseconds(9000)));
  EXPECT_EQ(c.stage(), Stage::kEmpty);
}

TEST(Course, WithoutAGraceASecondCounts) {
  Course c(kStart, Duration{0}, kSilence, true);
  EXPECT_FALSE(c.look(kStart + milliseconds(900)));
  EXPECT_TRUE(c.look(kStart + milliseconds(2000)));
}

}  // namespace
}  // namespace beechhill::recovery
