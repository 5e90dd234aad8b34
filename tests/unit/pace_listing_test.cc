#include "group/pace_listing.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(PaceListing, ASlowEngineIsListedAtOnceAndItsRecoveryToo) {
  PaceListing listing;
  TimePoint now = TimePoint() + seconds(100);
  EXPECT_FALSE(listing.OnPace(1.1, now));
  EXPECT_TRUE(listing.OnPace(12, now));
  EXPECT_DOUBLE_EQ(listing.listed(), 12);
  EXPECT_FALSE(listing.OnPace(12.1, now + seconds(1)));
  EXPECT_TRUE(listing.OnPace(1, now + seconds(2)));
  EXPECT_DOUBLE_EQ(listing.listed(), 1);
}

TEST(PaceListing, APaceThatComesAndGoesIsWrittenTwiceASecondAtMost) {
  PaceListing listing;
  int writes = 0;
  for (int poll = 0; poll < 100; ++poll) {
    const TimePoint now = TimePoint() + seconds(100) + milliseconds(100) * poll;
    writes += listing.OnPace(poll % 2 == 0 ? 3 : 1, now) ? 1 : 0;
  }
  EXPECT_LE(writes, 20);
  EXPECT_GE(writes, 10);
}

}  // namespace
}  // namespace mangohold
