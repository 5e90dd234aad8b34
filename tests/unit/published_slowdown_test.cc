#include "group/published_slowdown.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(PublishedSlowdown, PublishesSlowdownAndRecoveryAtOnce) {
  PublishedSlowdown published;
  TimePoint now = TimePoint() + seconds(100);
  EXPECT_FALSE(published.Update(1.1, now));
  EXPECT_TRUE(published.Update(12, now));
  EXPECT_DOUBLE_EQ(published.value(), 12);
  EXPECT_FALSE(published.Update(12.1, now + seconds(1)));
  EXPECT_TRUE(published.Update(1, now + seconds(2)));
  EXPECT_DOUBLE_EQ(published.value(), 1);
}

TEST(PublishedSlowdown, OscillatingSlowdownChangesAtMostTwiceASecond) {
  PublishedSlowdown published;
  int writes = 0;
  for (int poll = 0; poll < 100; ++poll) {
    const TimePoint now = TimePoint() + seconds(100) + milliseconds(100) * poll;
    writes += published.Update(poll % 2 == 0 ? 3 : 1, now) ? 1 : 0;
  }
  EXPECT_LE(writes, 20);
  EXPECT_GE(writes, 10);
}

}  // namespace
}  // namespace mangohold
