#include "routing/group_gate.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const InstanceId kFirst("r0");
const InstanceId kSecond("r1");

class GroupGateTest : public testing::Test {
 protected:
  GroupGateTest() { gate_.SetEvenPass(milliseconds(30)); }

  // Both ranks refuse, and the group is open again after a second.
  void CloseAndOpen() {
    gate_.OnRefused(kFirst, now_);
    gate_.OnRefused(kSecond, now_);
    ASSERT_TRUE(gate_.is_closed());
    now_ += seconds(1);
    ASSERT_TRUE(gate_.MayPass(now_));
    gate_.OnSent(AttemptNumber(1));
    EXPECT_FALSE(gate_.MayPass(now_)) << "one tries it";
    now_ += milliseconds(50);
    gate_.OnBegun(kFirst, now_ - milliseconds(50), now_);
  }
  void Events(int count, milliseconds gap) {
    for (int i = 0; i < count; ++i) {
      now_ += gap;
      gate_.OnEventGap(kFirst, gap, now_);
    }
  }

  GroupGate gate_;
  TimePoint now_ = TimePoint() + seconds(100);
};

// All callers of the time without power wait for a group that has formed anew.
TEST_F(GroupGateTest, BacklogWaitsUntilTheFirstMapIsEven) {
  CloseAndOpen();
  EXPECT_FALSE(gate_.is_closed());
  EXPECT_FALSE(gate_.MayPass(now_)) << "one stream keeps the passes going";
  Events(5, milliseconds(100));
  EXPECT_FALSE(gate_.MayPass(now_)) << "passes take three times as long";
  EXPECT_TRUE(gate_.ExpectedWait(now_));
  Events(2, milliseconds(40));
  EXPECT_TRUE(gate_.MayPass(now_));
  EXPECT_FALSE(gate_.ExpectedWait(now_));
}

TEST_F(GroupGateTest, AnotherStreamFollowsOneThatHasEnded) {
  CloseAndOpen();
  gate_.OnEnded(AttemptNumber(1));
  EXPECT_TRUE(gate_.MayPass(now_));
  gate_.OnSent(AttemptNumber(2));
  EXPECT_FALSE(gate_.MayPass(now_));
}

// No map comes, since orders are lost: the group is used as it is.
TEST_F(GroupGateTest, AGroupThatStaysUnevenTakesWorkAfterAWhile) {
  CloseAndOpen();
  Events(14, milliseconds(100));
  EXPECT_FALSE(gate_.MayPass(now_));
  Events(2, milliseconds(100));
  EXPECT_TRUE(gate_.MayPass(now_));
}

TEST_F(GroupGateTest, OneEvenGapIsNoEvenness) {
  CloseAndOpen();
  Events(1, milliseconds(30));
  Events(1, milliseconds(100));
  Events(1, milliseconds(30));
  EXPECT_FALSE(gate_.MayPass(now_));
}

TEST_F(GroupGateTest, AGroupThatWasNeverClosedDoesNotSettle) {
  gate_.OnSent(AttemptNumber(1));
  gate_.OnBegun(kFirst, now_, now_);
  Events(3, milliseconds(200));
  EXPECT_TRUE(gate_.MayPass(now_));
}

TEST_F(GroupGateTest, WithoutPublishedFiguresNothingSettles) {
  gate_.SetEvenPass(Duration(0));
  CloseAndOpen();
  EXPECT_TRUE(gate_.MayPass(now_));
}

}  // namespace
}  // namespace mangohold
