#include "routing/backend_notices.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const InstanceId kId("i-1");
constexpr TimePoint kNow = TimePoint() + seconds(100);

TEST(BackendNotices, ALeavingOneStaysUnwelcomeWhateverIsListed) {
  BackendNotices notices;
  EXPECT_TRUE(notices.IsWelcome(kId, kNow));
  EXPECT_TRUE(notices.OnLeaving(kId, std::nullopt, kNow));
  EXPECT_FALSE(notices.OnLeaving(kId, std::nullopt, kNow)) << "known already";
  notices.OnListed(kId, std::nullopt);
  notices.OnListed(kId, 1'000);
  notices.OnListed(kId, 1'000);
  EXPECT_FALSE(notices.IsWelcome(kId, kNow + seconds(300)));
}

TEST(BackendNotices, AnotherStartUnderTheSameIdIsWelcome) {
  BackendNotices notices;
  notices.OnLeaving(kId, std::nullopt, kNow);
  notices.OnListed(kId, 1'000);
  notices.OnListed(kId, 2'000);
  EXPECT_TRUE(notices.IsWelcome(kId, kNow));
}

// Guards against a late heartbeat of an earlier start that cancels the leaving.
TEST(BackendNotices, AnEarlierStartUnderTheSameIdSaysNothing) {
  BackendNotices notices;
  notices.OnLeaving(kId, 2'000, kNow);
  notices.OnListed(kId, 1'000);
  EXPECT_FALSE(notices.IsWelcome(kId, kNow));
  notices.OnListed(kId, 2'000);
  EXPECT_FALSE(notices.IsWelcome(kId, kNow));
}

// Guards against a start that is never used, since an earlier one had left
// before the next listing.
TEST(BackendNotices, ALaterStartThatIsListedFirstIsWelcome) {
  BackendNotices notices;
  notices.OnLeaving(kId, 1'000, kNow);
  notices.OnListed(kId, 2'000);
  EXPECT_TRUE(notices.IsWelcome(kId, kNow));
}

TEST(BackendNotices, AQuietOneIsLeftAloneForItsTime) {
  BackendNotices notices;
  notices.OnQuiet(kId, milliseconds(700), kNow);
  notices.OnQuiet(kId, milliseconds(300), kNow);
  EXPECT_FALSE(notices.IsWelcome(kId, kNow + milliseconds(699)));
  EXPECT_TRUE(notices.IsWelcome(kId, kNow + milliseconds(700)));
  EXPECT_TRUE(notices.IsWelcome(InstanceId("i-2"), kNow));
}

TEST(BackendNotices, NobodyIsQuietForMoreThanAnHour) {
  BackendNotices notices;
  notices.OnQuiet(kId, std::chrono::hours(1'000), kNow);
  EXPECT_FALSE(notices.IsWelcome(kId, kNow + std::chrono::minutes(59)));
  EXPECT_TRUE(notices.IsWelcome(kId, kNow + std::chrono::minutes(60)));
}

}  // namespace
}  // namespace mangohold
