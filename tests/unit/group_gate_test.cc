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
  GroupGate gate_;
  TimePoint now_ = TimePoint() + seconds(100);
};

TEST_F(GroupGateTest, RefusalsOfOneRankDoNotClose) {
  EXPECT_FALSE(gate_.OnRefused(kFirst, now_));
  EXPECT_FALSE(gate_.OnRefused(kFirst, now_));
  EXPECT_TRUE(gate_.MayPass(now_));
  EXPECT_FALSE(gate_.ExpectedWait(now_));
}

TEST_F(GroupGateTest, RefusalsFarApartDoNotClose) {
  EXPECT_FALSE(gate_.OnRefused(kFirst, now_));
  EXPECT_FALSE(gate_.OnRefused(kSecond, now_ + milliseconds(600)));
}

// After a power failure, all callers wait for a group that is forming again. A
// closed group must not get all their requests at once.
TEST_F(GroupGateTest, ClosedGroupAdmitsOneProbeAtATime) {
  gate_.OnRefused(kFirst, now_);
  ASSERT_TRUE(gate_.OnRefused(kSecond, now_));
  EXPECT_FALSE(gate_.MayPass(now_));
  now_ += milliseconds(130);
  EXPECT_EQ(gate_.ExpectedWait(now_), milliseconds(130));
  ASSERT_TRUE(gate_.MayPass(now_));
  gate_.OnSent(AttemptNumber(1));
  EXPECT_FALSE(gate_.MayPass(now_ + seconds(1)));
  gate_.OnRefused(kFirst, now_);
  gate_.OnEnded(AttemptNumber(1));
  EXPECT_FALSE(gate_.MayPass(now_));
  now_ += milliseconds(130);
  ASSERT_TRUE(gate_.MayPass(now_));
  gate_.OnSent(AttemptNumber(2));
  gate_.OnResponseStarted(kFirst, now_, now_);
  EXPECT_TRUE(gate_.MayPass(now_));
  EXPECT_FALSE(gate_.ExpectedWait(now_));
}

TEST_F(GroupGateTest, EventGapExpiresAfterOneSecond) {
  gate_.OnEventGap(kFirst, milliseconds(50), now_);
  EXPECT_DOUBLE_EQ(gate_.GapSeconds(now_ + milliseconds(900)), 0.05);
  EXPECT_DOUBLE_EQ(gate_.GapSeconds(now_ + milliseconds(1'100)), 0);
}

}  // namespace
}  // namespace mangohold
