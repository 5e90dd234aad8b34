#include "group/pass_forecast.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kMinArmingTime{100};
constexpr std::uint64_t kLeastAhead = 3;

// A forecast of a group that makes 20 passes a second, and its last pass.
struct RunningGroup {
  RunningGroup() {
    for (int i = 0; i < 10; ++i) {
      now += seconds(2);
      last = PassNumber(last.value() + 40);
      forecast.OnStatus(last, now);
    }
  }
  std::uint64_t PassesAhead() const {
    return forecast.Choose(last).value() - last.value();
  }

  PassForecast forecast{kMinArmingTime};
  TimePoint now = TimePoint() + seconds(100);
  PassNumber last;
};

TEST(PassForecast, AnUnknownRateGetsTheLeastDistance) {
  const PassForecast forecast(kMinArmingTime);
  EXPECT_EQ(forecast.Choose(PassNumber(7)), PassNumber(7 + kLeastAhead));
}

// Guards against a group that stands still at a hold that it has reached before
// all ranks are armed: with unanswered orders arming takes seconds.
TEST(PassForecast, SlowArmingPlacesTheNextHoldFurtherAhead) {
  RunningGroup group;
  const std::uint64_t before = group.PassesAhead();
  group.forecast.OnArmingBegan(group.now);
  group.forecast.OnReleased(group.now + seconds(2));
  // 2 s and a margin, at 20 passes a second.
  EXPECT_GT(group.PassesAhead(), 40U);
  EXPECT_LT(before, group.PassesAhead());
}

TEST(PassForecast, AReleaseWithoutAHoldOfThisLeaderSaysNothing) {
  RunningGroup group;
  const std::uint64_t before = group.PassesAhead();
  group.forecast.OnReleased(group.now + seconds(2));
  EXPECT_EQ(group.PassesAhead(), before);
}

// Guards against a pass that lies far ahead of a group that has just formed.
TEST(PassForecast, ANewEpochForgetsTheRate) {
  RunningGroup group;
  group.forecast.OnArmingBegan(group.now);
  group.forecast.OnReleased(group.now + seconds(2));
  group.forecast.OnNewEpoch();
  EXPECT_EQ(group.PassesAhead(), kLeastAhead);
}

}  // namespace
}  // namespace mangohold
