#include "group/unanswered_arm_orders.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow = TimePoint() + seconds(100);
constexpr GroupEpoch kEpoch(3);

TEST(UnansweredArmOrders, NoOrderMayArmInitially) {
  const UnansweredArmOrders orders;
  EXPECT_FALSE(orders.MayArm(kEpoch, PassNumber(1), kNow));
}

TEST(UnansweredArmOrders, OrdersOfThePreviousProcessMayArm) {
  UnansweredArmOrders orders;
  orders.OnProcessStart(kNow);
  EXPECT_TRUE(orders.MayArm(kEpoch, PassNumber(1), kNow + seconds(12)));
  EXPECT_FALSE(orders.MayArm(kEpoch, PassNumber(1), kNow + seconds(13)));
}

void SendUnanswered(UnansweredArmOrders& orders, GroupEpoch epoch, int pass,
                    TimePoint now) {
  orders.OnSent(epoch, PassNumber(pass));
  orders.OnUnanswered(now);
}

TEST(UnansweredArmOrders, OrderInFlightMayArm) {
  UnansweredArmOrders orders;
  orders.OnSent(kEpoch, PassNumber(20));
  EXPECT_TRUE(orders.MayArm(kEpoch, PassNumber(19), kNow));
  EXPECT_FALSE(orders.MayArm(kEpoch, PassNumber(20), kNow));
  orders.OnAnswered();
  EXPECT_FALSE(orders.MayArm(kEpoch, PassNumber(19), kNow));
}

TEST(UnansweredArmOrders, OrderExpiresWithItsPassEpochAndTime) {
  UnansweredArmOrders orders;
  SendUnanswered(orders, kEpoch, 20, kNow);
  const TimePoint later = kNow + seconds(5);
  EXPECT_TRUE(orders.MayArm(kEpoch, PassNumber(19), later));
  EXPECT_FALSE(orders.MayArm(kEpoch, PassNumber(20), later))
      << "it has started";
  EXPECT_FALSE(orders.MayArm(kEpoch.Next(), PassNumber(19), later));
  EXPECT_FALSE(orders.MayArm(kEpoch, PassNumber(19), kNow + seconds(13)));
}

TEST(UnansweredArmOrders, TracksTheHighestPassOfAnEpoch) {
  UnansweredArmOrders orders;
  SendUnanswered(orders, kEpoch, 30, kNow);
  SendUnanswered(orders, kEpoch, 20, kNow + seconds(6));
  EXPECT_TRUE(orders.MayArm(kEpoch, PassNumber(25), kNow + seconds(18)));
  SendUnanswered(orders, kEpoch.Next(), 5, kNow + seconds(7));
  EXPECT_TRUE(orders.MayArm(kEpoch.Next(), PassNumber(4), kNow + seconds(8)));
  EXPECT_FALSE(orders.MayArm(kEpoch.Next(), PassNumber(6), kNow + seconds(8)));
}

}  // namespace
}  // namespace mangohold
