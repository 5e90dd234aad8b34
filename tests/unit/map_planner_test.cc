#include "group/map_planner.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

constexpr EngineFigures kEngine = {
    .expert_sets = 1, .experts = 4, .places = 3, .spare_places = 2};
const GroupMap kCurrent = {{{0, 1}, {2, 3}}};
const std::vector<double> kSlowdowns = {1, 1};

MapPlanner PlannerWithCounts(const ExpertCounts& counts) {
  MapPlanner planner({});
  planner.Add(counts, kEngine);
  planner.EndPeriod(&kCurrent);
  return planner;
}

TEST(MapPlanner, PlansForAnUnevenMap) {
  MapPlanner planner = PlannerWithCounts({500, 400, 50, 50});
  ASSERT_TRUE(planner.Begin(kCurrent, kSlowdowns, kEngine));
  EXPECT_TRUE(planner.is_planning());
  EXPECT_FALSE(planner.Begin(kCurrent, kSlowdowns, kEngine))
      << "a plan is in progress";
  while (planner.PlanNextSet()) {
  }
  const auto plan = planner.Take();
  ASSERT_TRUE(plan.has_value());
  EXPECT_FALSE(planner.is_planning());
  EXPECT_FALSE(planner.Take().has_value());
}

TEST(MapPlanner, KeepsABalancedMap) {
  MapPlanner planner = PlannerWithCounts({250, 250, 250, 250});
  EXPECT_FALSE(planner.Begin(kCurrent, kSlowdowns, kEngine));
}

TEST(MapPlanner, PlansNothingOnFewCounts) {
  MapPlanner planner = PlannerWithCounts({30, 20, 1, 1});
  EXPECT_FALSE(planner.Begin(kCurrent, kSlowdowns, kEngine));
}

TEST(MapPlanner, PlansNothingForAMapWithOtherSets) {
  MapPlanner planner = PlannerWithCounts({500, 400, 50, 50});
  EXPECT_FALSE(planner.Begin({}, kSlowdowns, kEngine));
}

// The demand saved by an earlier leader suffices for a plan before the first
// request.
TEST(MapPlanner, PlansFromRestoredDemand) {
  MapPlanner planner({});
  EXPECT_FALSE(planner.Begin(kCurrent, kSlowdowns, kEngine));
  planner.Restore({{5, 4, 1, 1}});
  EXPECT_TRUE(planner.Begin(kCurrent, kSlowdowns, kEngine));
}

// A map with equal loads is unbalanced in time if one rank is slow.
TEST(MapPlanner, PlansForASlowRank) {
  MapPlanner planner = PlannerWithCounts({250, 250, 250, 250});
  EXPECT_TRUE(planner.Begin(kCurrent, {1, 6}, kEngine));
}

}  // namespace
}  // namespace mangohold
