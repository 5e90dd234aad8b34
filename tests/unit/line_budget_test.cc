#include "core/line_budget.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

TEST(LineBudget, BoundsEachSecondAndTellsWhatWasDropped) {
  LineBudget budget(3);
  TimePoint now = TimePoint() + std::chrono::seconds(10);
  std::uint64_t dropped = 0;
  int written = 0;
  for (int i = 0; i < 10; ++i) written += budget.Take(now, dropped) ? 1 : 0;
  EXPECT_EQ(written, 3);
  EXPECT_EQ(dropped, 0U);
  now += std::chrono::seconds(1);
  EXPECT_TRUE(budget.Take(now, dropped));
  EXPECT_EQ(dropped, 7U);
  EXPECT_TRUE(budget.Take(now, dropped));
  EXPECT_EQ(dropped, 0U);
}

}  // namespace
}  // namespace mangohold
