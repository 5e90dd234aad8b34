#include "group/map_planning.h"

#include <gtest/gtest.h>

namespace mangohold {
namespace {

constexpr EngineFigures kEngine = {
    .expert_sets = 1, .experts = 4, .places = 3, .spare_places = 2};
const GroupMap kPresent = {{{0, 1}, {2, 3}}};
const std::vector<double> kPaces = {1, 1};

MapPlanning PlanningWith(const ExpertCounts& choices) {
  MapPlanning planning({});
  planning.Add(choices, kEngine);
  planning.EndPeriod(&kPresent);
  return planning;
}

TEST(MapPlanning, PlansForAnUnevenMap) {
  MapPlanning planning = PlanningWith({500, 400, 50, 50});
  ASSERT_TRUE(planning.Begin(kPresent, kPaces, kEngine));
  EXPECT_TRUE(planning.is_planning());
  EXPECT_FALSE(planning.Begin(kPresent, kPaces, kEngine)) << "one at a time";
  while (planning.PlanNextSet()) {
  }
  const auto plan = planning.Take();
  ASSERT_TRUE(plan.has_value());
  EXPECT_FALSE(planning.is_planning());
  EXPECT_FALSE(planning.Take().has_value());
}

TEST(MapPlanning, LeavesAnEvenMapAlone) {
  MapPlanning planning = PlanningWith({250, 250, 250, 250});
  EXPECT_FALSE(planning.Begin(kPresent, kPaces, kEngine));
}

TEST(MapPlanning, PlansNothingOnAFewChoices) {
  MapPlanning planning = PlanningWith({30, 20, 1, 1});
  EXPECT_FALSE(planning.Begin(kPresent, kPaces, kEngine));
}

TEST(MapPlanning, PlansNothingForAMapOfOtherSets) {
  MapPlanning planning = PlanningWith({500, 400, 50, 50});
  EXPECT_FALSE(planning.Begin({}, kPaces, kEngine));
}

// What a leader before has kept is enough, before any request comes.
TEST(MapPlanning, PlansWithWhatWasKept) {
  MapPlanning planning({});
  EXPECT_FALSE(planning.Begin(kPresent, kPaces, kEngine));
  planning.Restore({{5, 4, 1, 1}});
  EXPECT_TRUE(planning.Begin(kPresent, kPaces, kEngine));
}

// One rank is slow: an even map is uneven in time.
TEST(MapPlanning, PlansForASlowRank) {
  MapPlanning planning = PlanningWith({250, 250, 250, 250});
  EXPECT_TRUE(planning.Begin(kPresent, {1, 6}, kEngine));
}

}  // namespace
}  // namespace mangohold
