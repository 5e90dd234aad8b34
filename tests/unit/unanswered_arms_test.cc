#include "group/unanswered_arms.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow = TimePoint() + seconds(100);
constexpr GroupEpoch kEpoch(3);

TEST(UnansweredArms, NothingIsFearedWithoutAny) {
  const UnansweredArms arms;
  EXPECT_FALSE(arms.MayArm(kEpoch, PassNumber(1), kNow));
}

TEST(UnansweredArms, AProcessThatStartedFearsTheOneBeforeIt) {
  UnansweredArms arms;
  arms.OnStart(kNow);
  EXPECT_TRUE(arms.MayArm(kEpoch, PassNumber(1), kNow + seconds(12)));
  EXPECT_FALSE(arms.MayArm(kEpoch, PassNumber(1), kNow + seconds(13)));
}

void SendWithoutAnswer(UnansweredArms& arms, GroupEpoch epoch, int pass,
                       TimePoint now) {
  arms.OnSent(epoch, PassNumber(pass));
  arms.OnUnanswered(now);
}

TEST(UnansweredArms, AnOrderOnItsWayMayArm) {
  UnansweredArms arms;
  arms.OnSent(kEpoch, PassNumber(20));
  EXPECT_TRUE(arms.MayArm(kEpoch, PassNumber(19), kNow));
  EXPECT_FALSE(arms.MayArm(kEpoch, PassNumber(20), kNow));
  arms.OnAnswered();
  EXPECT_FALSE(arms.MayArm(kEpoch, PassNumber(19), kNow));
}

TEST(UnansweredArms, AnOrderIsVoidAfterItsPassItsEpochAndItsTime) {
  UnansweredArms arms;
  SendWithoutAnswer(arms, kEpoch, 20, kNow);
  const TimePoint later = kNow + seconds(5);
  EXPECT_TRUE(arms.MayArm(kEpoch, PassNumber(19), later));
  EXPECT_FALSE(arms.MayArm(kEpoch, PassNumber(20), later)) << "it has begun";
  EXPECT_FALSE(arms.MayArm(kEpoch.Next(), PassNumber(19), later));
  EXPECT_FALSE(arms.MayArm(kEpoch, PassNumber(19), kNow + seconds(13)));
}

TEST(UnansweredArms, TheLastOfSeveralCounts) {
  UnansweredArms arms;
  SendWithoutAnswer(arms, kEpoch, 30, kNow);
  SendWithoutAnswer(arms, kEpoch, 20, kNow + seconds(6));
  EXPECT_TRUE(arms.MayArm(kEpoch, PassNumber(25), kNow + seconds(18)));
  SendWithoutAnswer(arms, kEpoch.Next(), 5, kNow + seconds(7));
  EXPECT_TRUE(arms.MayArm(kEpoch.Next(), PassNumber(4), kNow + seconds(8)));
  EXPECT_FALSE(arms.MayArm(kEpoch.Next(), PassNumber(6), kNow + seconds(8)));
}

}  // namespace
}  // namespace mangohold
