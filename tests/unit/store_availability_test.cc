#include "store/store_availability.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint() + seconds(100);

// A process that has just started doesn't know whether the store was available
// before.
TEST(StoreAvailability, IsSettledSomeTimeAfterTheFirstAnswer) {
  StoreAvailability availability;
  EXPECT_FALSE(availability.IsSettled(kStart));
  availability.OnAnswered(kStart);
  EXPECT_FALSE(availability.IsSettled(kStart + seconds(1)));
  EXPECT_TRUE(availability.IsSettled(kStart + seconds(2)));
}

// Guards against short faults that restart the settling time.
TEST(StoreAvailability, StaysSettledInOutagesTooShortToExpireAKey) {
  StoreAvailability availability;
  TimePoint now = kStart;
  availability.OnAnswered(now);
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(2'300);
    availability.OnAnswered(now);
    EXPECT_TRUE(availability.IsSettled(now)) << i;
  }
}

TEST(StoreAvailability, IsUnsettledDuringAndAfterALongOutage) {
  StoreAvailability availability;
  availability.OnAnswered(kStart);
  const TimePoint back = kStart + seconds(10);
  EXPECT_FALSE(availability.IsSettled(back)) << "the store may be unavailable";
  availability.OnAnswered(back);
  EXPECT_FALSE(availability.IsSettled(back + milliseconds(1'900)));
  EXPECT_TRUE(availability.IsSettled(back + seconds(2)));
}

TEST(StoreAvailability, AnOldAnswerToAPeerChangesNothing) {
  StoreAvailability availability;
  availability.OnAnswered(kStart);
  availability.OnAnswered(kStart + seconds(2));
  availability.OnAnswered(kStart - seconds(5));
  EXPECT_TRUE(availability.IsSettled(kStart + seconds(3)));
}

TEST(StoreAvailability, IsUnsettledAfterARestoreHoweverShort) {
  StoreAvailability availability;
  availability.OnAnswered(kStart);
  availability.OnAnswered(kStart + seconds(2));
  availability.OnRestored(kStart + seconds(2));
  EXPECT_FALSE(availability.IsSettled(kStart + seconds(3)));
}

}  // namespace
}  // namespace mangohold
