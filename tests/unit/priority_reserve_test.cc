// Slots kept free for urgent requests under mixed loads.
#include "routing/priority_reserve.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

using std::chrono::seconds;

constexpr int kUrgent = 0;
constexpr int kNormal = 1;
constexpr int kLow = 2;
constexpr int kSlots = 10;

class PriorityReserveTest : public testing::Test {
 protected:
  void Arrive(int priority, int count) {
    for (int i = 0; i < count; ++i) reserve_.OnArrival(priority, now_);
  }
  int Reserved(int priority) const {
    return ReservedSlots(reserve_.FractionFor(priority, now_), kSlots);
  }

  TimePoint now_ = TimePoint() + seconds(100);
  PriorityReserve reserve_{{.max_fraction = 0.4}};
};

// Guards against unused slots while only the lowest priority is in demand.
TEST_F(PriorityReserveTest, ALonePriorityUsesAllPlaces) {
  Arrive(kLow, 20);
  EXPECT_EQ(Reserved(kLow), 0);
}

// Guards against low requests that fill the slots that urgent ones of other
// entries need.
TEST_F(PriorityReserveTest, LessUrgentOnesLeavePlacesFree) {
  Arrive(kUrgent, 10);
  Arrive(kLow, 10);
  EXPECT_GT(Reserved(kLow), 0);
  EXPECT_EQ(Reserved(kUrgent), 0);
}

// Guards against a middle priority that is treated like the lowest.
TEST_F(PriorityReserveTest, EachLeavesPlacesOnlyForMoreUrgentOnes) {
  Arrive(kUrgent, 2);
  Arrive(kNormal, 20);
  Arrive(kLow, 10);
  EXPECT_LT(Reserved(kNormal), Reserved(kLow));
}

// Guards against slots kept for an urgent kind that no longer comes.
TEST_F(PriorityReserveTest, AbsentUrgentOnesReserveNothing) {
  Arrive(kUrgent, 10);
  now_ += seconds(4);
  Arrive(kLow, 10);
  EXPECT_EQ(Reserved(kLow), 0);
}

// Guards against a burst of urgent requests, after seconds without one, that
// finds no slots kept.
TEST_F(PriorityReserveTest, ABurstReservesAtItsFirstRequest) {
  Arrive(kLow, 30);
  Arrive(kUrgent, 1);
  EXPECT_EQ(Reserved(kLow), 1);
}

// Guards against low requests that never run while urgent ones fill all.
TEST_F(PriorityReserveTest, AnOvertakenPriorityGoesWithoutReserveOnce) {
  Arrive(kUrgent, 30);
  Arrive(kLow, 1);
  for (int i = 0; i < 8; ++i) reserve_.OnSent(kUrgent);
  EXPECT_EQ(Reserved(kLow), 0);
  reserve_.OnSent(kLow);
  EXPECT_GT(Reserved(kLow), 0);
}

// Guards against a reserve that takes all slots of a small backend.
TEST(ReservedSlotsTest, HalfOfTheSlotsAreReservedAtMost) {
  EXPECT_EQ(ReservedSlots(0.9, 1), 0);
  EXPECT_EQ(ReservedSlots(0.9, 2), 1);
  EXPECT_EQ(ReservedSlots(0.9, 4), 2);
  EXPECT_EQ(ReservedSlots(0, 4), 0);
}

// Guards against a reserve where the settings ask for none.
TEST(PriorityReserveOffTest, WithoutAFractionNothingIsReserved) {
  const TimePoint now = TimePoint() + seconds(100);
  PriorityReserve reserve({});
  reserve.OnArrival(kUrgent, now);
  reserve.OnArrival(kLow, now);
  EXPECT_EQ(reserve.FractionFor(kLow, now), 0);
}

}  // namespace
}  // namespace mangohold
