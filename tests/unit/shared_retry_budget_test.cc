#include "routing/shared_retry_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "core/random.h"

namespace mangohold {
namespace {

constexpr double kRatio = 0.2;
constexpr double kSlack = 88;
constexpr std::chrono::seconds kWindow(10);

// The retries of all entries in any window stay within the shared bound,
// however the requests are distributed over the entries.
TEST(SharedRetryBudget, SumStaysWithinBoundInAnyWindow) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    constexpr int kEntries = 6;
    std::vector<SharedRetryBudget> budgets(
        kEntries, SharedRetryBudget(
                      {.ratio = kRatio, .slack = kSlack, .window = kWindow}));
    for (auto& budget : budgets) budget.SetEntries(kEntries);
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;
    TimePoint now;
    for (int step = 0; step < 4'000; ++step) {
      now += std::chrono::milliseconds(random.Below(15));
      auto& budget = budgets[random.Below(kEntries)];
      if (random.Below(3) == 0) {
        budget.OnRequest(now);
        requests.push_back(now);
      } else if (budget.TryRetry(now)) {
        retries.push_back(now);
      }
    }
    const auto within = [](const std::vector<TimePoint>& times, TimePoint end) {
      return std::ranges::count_if(times, [end](TimePoint time) {
        return time <= end && time > end - kWindow;
      });
    };
    for (const TimePoint end : retries) {
      EXPECT_LE(static_cast<double>(within(retries, end)),
                kRatio * static_cast<double>(within(requests, end)) + kSlack)
          << "seed " << seed;
    }
  }
}

TEST(SharedRetryBudget, IdleEntryHasItsShareOfSlack) {
  SharedRetryBudget budget({.ratio = 0.2, .slack = 60, .safety_margin = 0});
  budget.SetEntries(6);
  int granted = 0;
  while (budget.TryRetry(TimePoint())) ++granted;
  EXPECT_EQ(granted, 10);
}

}  // namespace
}  // namespace mangohold
