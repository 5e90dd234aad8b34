#include "routing/ejection.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint() + seconds(100);

TEST(Ejection, ThreeConsecutiveFailuresEject) {
  Ejection ejection;
  EXPECT_FALSE(ejection.OnFailed());
  EXPECT_FALSE(ejection.OnFailed());
  ejection.OnServed();
  EXPECT_FALSE(ejection.OnFailed());
  EXPECT_FALSE(ejection.OnFailed());
  EXPECT_TRUE(ejection.OnFailed());
}

TEST(Ejection, EjectionsDoubleUntilARequestIsServed) {
  Ejection ejection;
  ejection.Begin(kStart);
  EXPECT_TRUE(ejection.IsEjected(kStart + milliseconds(399)));
  EXPECT_FALSE(ejection.IsEjected(kStart + milliseconds(400)));
  ejection.Begin(kStart);
  EXPECT_TRUE(ejection.IsEjected(kStart + milliseconds(799)));
  for (int i = 0; i < 10; ++i) ejection.Begin(kStart);
  EXPECT_FALSE(ejection.IsEjected(kStart + seconds(5)));
  ejection.OnServed();
  ejection.Begin(kStart);
  EXPECT_FALSE(ejection.IsEjected(kStart + milliseconds(400)));
}

// Requests that fail at every backend must not eject a healthy one or raise its
// failure rate.
TEST(Ejection, RequestFaultsAreNotCounted) {
  Ejection ejection;
  for (int i = 0; i < 100; ++i) {
    EXPECT_FALSE(ejection.OnFailed());
    ejection.UndoLastFailure();
  }
  EXPECT_DOUBLE_EQ(ejection.failure_rate(), 0);
  // Failures of this backend alone still count.
  ejection.OnFailed();
  ejection.OnFailed();
  EXPECT_TRUE(ejection.OnFailed());
  EXPECT_GT(ejection.failure_rate(), 0.4);
}

}  // namespace
}  // namespace mangohold
