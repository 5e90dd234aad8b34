// Limits on requests per rank under loads that make passes too long.
#include "routing/pass_limit.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = 10;
constexpr Millis kTargetGap{120};
constexpr EngineFigures kEngine{
    .step_ms = 5.85, .per_sequence_ms = 0.426, .steps_per_pass = 6};

// Seconds of a pass on evenly loaded ranks with so many requests.
double EvenPass(double requests) {
  return kEngine.steps_per_pass *
         (kEngine.step_ms + kEngine.per_sequence_ms * requests) / 1000;
}

class PassLimitTest : public testing::Test {
 protected:
  int MaxRequests() const {
    return limit_.MaxRequests(kSlots, kEngine, kTargetGap, now_);
  }

  TimePoint now_ = TimePoint() + seconds(100);
  PassLimit limit_{{.gap_fraction = 0.95}};
};

// Guards against a limit on groups of which nothing is known.
TEST_F(PassLimitTest, NothingSeenLeavesAllSlots) {
  EXPECT_EQ(MaxRequests(), kSlots);
}

// Guards against unused slots while passes are short enough.
TEST_F(PassLimitTest, EvenGroupsUseAllSlots) {
  limit_.OnGap(EvenPass(kSlots) * 1.2, kSlots, kEngine, now_);
  EXPECT_EQ(MaxRequests(), kSlots);
}

// Guards against full ranks whose experts are in uneven demand: all streams of
// the group would be late.
TEST_F(PassLimitTest, UnevenGroupsGetAsManyAsStayOnTime) {
  constexpr double kFactor = 2.2;
  limit_.OnGap(EvenPass(kSlots) * kFactor, kSlots, kEngine, now_);
  const int places = MaxRequests();
  EXPECT_LT(places, kSlots);
  EXPECT_LE(EvenPass(places) * kFactor, ToSeconds(kTargetGap));
  EXPECT_GE(places, kSlots / 2);
}

// Guards against a limit that follows the load down: a group with few requests
// has short passes by that alone, and would get all slots at once.
TEST_F(PassLimitTest, ShortPassesOfFewRequestsDontRaiseIt) {
  constexpr double kFactor = 2.2;
  limit_.OnGap(EvenPass(kSlots) * kFactor, kSlots, kEngine, now_);
  const int before = MaxRequests();
  limit_.OnGap(EvenPass(1) * kFactor, 1, kEngine, now_ + milliseconds(50));
  EXPECT_EQ(MaxRequests(), before);
}

// Guards against a limit that stays after its cause is gone.
TEST_F(PassLimitTest, TheLimitEndsSomeSecondsLater) {
  limit_.OnGap(EvenPass(kSlots) * 2.2, kSlots, kEngine, now_);
  now_ += seconds(10);
  EXPECT_EQ(MaxRequests(), kSlots);
}

// Guards against a group that stands still for a second and then gets too few
// requests: the stall says nothing of its load.
TEST_F(PassLimitTest, AStallLeavesHalfOfTheSlots) {
  limit_.OnGap(1.5, kSlots, kEngine, now_);
  EXPECT_EQ(MaxRequests(), kSlots / 2);
}

// Guards against limits where routes promise no gap, or engines publish
// nothing.
TEST_F(PassLimitTest, WithoutPromiseOrFiguresAllSlotsAreUsed) {
  limit_.OnGap(EvenPass(kSlots) * 3, kSlots, kEngine, now_);
  EXPECT_EQ(limit_.MaxRequests(kSlots, kEngine, Millis(0), now_), kSlots);
  EXPECT_EQ(limit_.MaxRequests(kSlots, EngineFigures{}, kTargetGap, now_),
            kSlots);
}

// Guards against a rank of one slot that gets none.
TEST_F(PassLimitTest, ARankGetsAtLeastOneRequest) {
  limit_.OnGap(EvenPass(1) * 3, 1, kEngine, now_);
  EXPECT_EQ(limit_.MaxRequests(1, kEngine, kTargetGap, now_), 1);
}

}  // namespace
}  // namespace mangohold
