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

TEST(UnansweredArms, AnOrderIsVoidAfterItsPassItsEpochAndItsTime) {
  UnansweredArms arms;
  arms.OnUnanswered(kEpoch, PassNumber(20), kNow);
  const TimePoint later = kNow + seconds(5);
  EXPECT_TRUE(arms.MayArm(kEpoch, PassNumber(19), later));
  EXPECT_FALSE(arms.MayArm(kEpoch, PassNumber(20), later)) << "it has begun";
  EXPECT_FALSE(arms.MayArm(kEpoch.Next(), PassNumber(19), later));
  EXPECT_FALSE(arms.MayArm(kEpoch, PassNumber(19), kNow + seconds(13)));
}

TEST(UnansweredArms, TheLastOfSeveralCounts) {
  UnansweredArms arms;
  arms.OnUnanswered(kEpoch, PassNumber(30), kNow);
  arms.OnUnanswered(kEpoch, PassNumber(20), kNow + seconds(6));
  EXPECT_TRUE(arms.MayArm(kEpoch, PassNumber(25), kNow + seconds(18)));
  arms.OnUnanswered(kEpoch.Next(), PassNumber(5), kNow + seconds(7));
  EXPECT_TRUE(arms.MayArm(kEpoch.Next(), PassNumber(4), kNow + seconds(8)));
  EXPECT_FALSE(arms.MayArm(kEpoch.Next(), PassNumber(6), kNow + seconds(8)));
}

}  // namespace
}  // namespace mangohold
