#include "group/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <numeric>

#include "core/random.h"

namespace mangohold {
namespace {

LayerLoad RandomLoad(const GroupShape& shape, Random& random) {
  LayerLoad load;
  for (int i = 0; i < shape.experts; ++i) {
    load.expert_load.push_back(1000 / std::pow(i + 1, random.Unit()));
  }
  for (int i = 0; i < shape.ranks; ++i) {
    load.rank_speed.push_back(0.5 + random.Unit());
  }
  return load;
}

// Checks that each expert has a slot and that its shares add up to 1.
void CheckMap(const ExpertMap& map) {
  std::vector<double> sums(static_cast<std::size_t>(map.shape.experts));
  for (int slot = 0; slot < map.shape.slots(); ++slot) {
    RC_ASSERT(map.expert[slot] >= 0);
    RC_ASSERT(map.share[slot] >= 0);
    sums[map.expert[slot]] += map.share[slot];
  }
  for (const double sum : sums) RC_ASSERT(std::abs(sum - 1) < 1e-6);
}

RC_GTEST_PROP(Placement, EveryStrategyPlansAValidMap, (std::uint64_t seed)) {
  Random random(seed);
  const GroupShape shape = {.ranks = 8, .experts = 12, .slots_per_rank = 3};
  ExpertMap map = InitialMap(shape);
  CheckMap(map);
  for (int plan = 0; plan < 5; ++plan) {
    const LayerLoad load = RandomLoad(shape, random);
    const double before = TimeOf(map, load).slowest;
    for (const PlacementStrategy& strategy : PlacementStrategies()) {
      const ExpertMap next = strategy.plan(
          map, load, {.move_cost = 1, .horizon_steps = 100, .max_moves = 4});
      CheckMap(next);
      if (strategy.name == "incremental") {
        RC_ASSERT(TimeOf(next, load).slowest <= before * (1 + 1e-9));
        RC_ASSERT(CountMoves(map, next) <= 4);
        map = next;
      }
    }
  }
}

TEST(Placement, MakesOnlyMovesThatPay) {
  const GroupShape shape = {.ranks = 4, .experts = 4, .slots_per_rank = 2};
  const ExpertMap map = InitialMap(shape);
  const LayerLoad load{.expert_load = {100, 10, 10, 10},
                       .rank_speed = {1, 1, 1, 1}};
  const auto& incremental = PlacementStrategies()[2];
  const ExpertMap cheap =
      incremental.plan(map, load, {.move_cost = 1, .horizon_steps = 100});
  const ExpertMap expensive =
      incremental.plan(map, load, {.move_cost = 1e6, .horizon_steps = 100});
  EXPECT_GT(CountMoves(map, cheap), 0);
  EXPECT_EQ(CountMoves(map, expensive), 0);
  EXPECT_LT(TimeOf(cheap, load).slowest, TimeOf(expensive, load).slowest);
}

// Rebalancing the shares alone relieves a slow rank.
TEST(Placement, BalancedSharesRelieveAStraggler) {
  const GroupShape shape = {.ranks = 4, .experts = 4, .slots_per_rank = 2};
  ExpertMap map = InitialMap(shape);
  const LayerLoad load{.expert_load = {10, 10, 10, 10},
                       .rank_speed = {0.5, 1, 1, 1}};
  const ExpertMap before = map;
  BalanceShares(map, load);
  EXPECT_EQ(CountMoves(before, map), 0);
  EXPECT_LT(TimeOf(map, load).skew(), 1.01);
  EXPECT_GT(TimeOf(before, load).skew(), 1.5);
}

}  // namespace
}  // namespace mangohold
