#include "store/store_availability.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint() + seconds(100);

// A process that starts doesn't know since when the store has been there.
TEST(StoreContact, IsSettledSomeTimeAfterTheFirstWord) {
  StoreAvailability contact;
  EXPECT_FALSE(contact.IsSettled(kStart));
  contact.OnAnswered(kStart);
  EXPECT_FALSE(contact.IsSettled(kStart + seconds(1)));
  EXPECT_TRUE(contact.IsSettled(kStart + seconds(2)));
}

// Guards against small faults that begin the time anew.
TEST(StoreContact, StaysSettledThroughAbsencesTooShortToLapseAnEntry) {
  StoreAvailability contact;
  TimePoint now = kStart;
  contact.OnAnswered(now);
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(2'300);
    contact.OnAnswered(now);
    EXPECT_TRUE(contact.IsSettled(now)) << i;
  }
}

TEST(StoreContact, IsUnsettledInALongAbsenceAndAfterIt) {
  StoreAvailability contact;
  contact.OnAnswered(kStart);
  const TimePoint back = kStart + seconds(10);
  EXPECT_FALSE(contact.IsSettled(back)) << "the store may be away";
  contact.OnAnswered(back);
  EXPECT_FALSE(contact.IsSettled(back + milliseconds(1'900)));
  EXPECT_TRUE(contact.IsSettled(back + seconds(2)));
}

TEST(StoreContact, AnOldWordOfAPeerChangesNothing) {
  StoreAvailability contact;
  contact.OnAnswered(kStart);
  contact.OnAnswered(kStart + seconds(2));
  contact.OnAnswered(kStart - seconds(5));
  EXPECT_TRUE(contact.IsSettled(kStart + seconds(3)));
}

TEST(StoreContact, ARestoredStoreHadBeenAwayHoweverShortly) {
  StoreAvailability contact;
  contact.OnAnswered(kStart);
  contact.OnAnswered(kStart + seconds(2));
  contact.OnRestored(kStart + seconds(2));
  EXPECT_FALSE(contact.IsSettled(kStart + seconds(3)));
}

}  // namespace
}  // namespace mangohold
