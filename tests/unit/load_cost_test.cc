#include "routing/load_cost.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

const EngineFigures kEngine = {
    .step_ms = 6, .per_sequence_ms = 1, .usual_prompt_tokens = 800};

TEST(LoadCost, PendingPrefillCostsAsMuchAsARequest) {
  EXPECT_DOUBLE_EQ(LoadCost({.requests = 3}, &kEngine), 3);
  EXPECT_DOUBLE_EQ(LoadCost({.requests = 2, .prefill_tokens = 800}, &kEngine),
                   3);
}

// In units of one request, a pass takes 6 + 2 at the usual speed. At half the
// speed it takes 16, as long as a pass with 10 requests at the usual speed.
TEST(LoadCost, SlowRankCostsItsDelayOfThePass) {
  EXPECT_DOUBLE_EQ(LoadCost({.requests = 2, .slowdown = 2}, &kEngine), 10);
  EXPECT_DOUBLE_EQ(LoadCost({.requests = 2, .slowdown = 0.5}, &kEngine), 2);
}

TEST(LoadCost, SlowGroupCostsMore) {
  EXPECT_GT(LoadCost({.requests = 2, .group_lag = 1}, &kEngine),
            LoadCost({.requests = 3}, &kEngine));
}

TEST(LoadCost, ServiceCostIsTheExpectedWait) {
  EXPECT_DOUBLE_EQ(LoadCost({.requests = 2}, nullptr), 2)
      << "its service time is unknown";
  EXPECT_LT(LoadCost({.requests = 2, .service_seconds = 0.01}, nullptr),
            LoadCost({.requests = 0, .service_seconds = 0.1}, nullptr));
}

TEST(LoadCost, FailingBackendCostsMost) {
  EXPECT_GT(LoadCost({.failure_rate = 1}, &kEngine),
            LoadCost({.requests = 7}, &kEngine));
}

}  // namespace
}  // namespace mangohold
