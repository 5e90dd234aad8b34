#include "routing/backend_notices.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const InstanceId kId("i-1");
constexpr TimePoint kNow = TimePoint() + seconds(100);

TEST(BackendNotices, LeavingBackendStaysUnavailableWhenListed) {
  BackendNotices notices;
  EXPECT_TRUE(notices.IsAvailable(kId, kNow));
  EXPECT_TRUE(notices.OnLeaving(kId, std::nullopt, kNow));
  EXPECT_FALSE(notices.OnLeaving(kId, std::nullopt, kNow)) << "known already";
  notices.OnListed(kId, std::nullopt);
  notices.OnListed(kId, 1'000);
  notices.OnListed(kId, 1'000);
  EXPECT_FALSE(notices.IsAvailable(kId, kNow + seconds(300)));
}

TEST(BackendNotices, LaterStartUnderSameIdIsAvailable) {
  BackendNotices notices;
  notices.OnLeaving(kId, std::nullopt, kNow);
  notices.OnListed(kId, 1'000);
  notices.OnListed(kId, 2'000);
  EXPECT_TRUE(notices.IsAvailable(kId, kNow));
}

// A delayed heartbeat of an earlier start must not cancel the notice that the
// backend is leaving.
TEST(BackendNotices, EarlierStartUnderSameIdIsIgnored) {
  BackendNotices notices;
  notices.OnLeaving(kId, 2'000, kNow);
  notices.OnListed(kId, 1'000);
  EXPECT_FALSE(notices.IsAvailable(kId, kNow));
  notices.OnListed(kId, 2'000);
  EXPECT_FALSE(notices.IsAvailable(kId, kNow));
}

// A restarted backend must not stay excluded because the start before it left
// before the next listing.
TEST(BackendNotices, LaterStartListedFirstIsAvailable) {
  BackendNotices notices;
  notices.OnLeaving(kId, 1'000, kNow);
  notices.OnListed(kId, 2'000);
  EXPECT_TRUE(notices.IsAvailable(kId, kNow));
}

TEST(BackendNotices, BackoffEndsAfterItsDuration) {
  BackendNotices notices;
  notices.OnBackoff(kId, milliseconds(700), kNow);
  notices.OnBackoff(kId, milliseconds(300), kNow);
  EXPECT_FALSE(notices.IsAvailable(kId, kNow + milliseconds(699)));
  EXPECT_TRUE(notices.IsAvailable(kId, kNow + milliseconds(700)));
  EXPECT_TRUE(notices.IsAvailable(InstanceId("i-2"), kNow));
}

TEST(BackendNotices, BackoffIsLimitedToOneHour) {
  BackendNotices notices;
  notices.OnBackoff(kId, std::chrono::hours(1'000), kNow);
  EXPECT_FALSE(notices.IsAvailable(kId, kNow + std::chrono::minutes(59)));
  EXPECT_TRUE(notices.IsAvailable(kId, kNow + std::chrono::minutes(60)));
}

}  // namespace
}  // namespace mangohold
