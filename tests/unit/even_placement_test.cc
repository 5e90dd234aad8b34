#include "group/even_placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "bench/popularity.h"
#include "core/random.h"
#include "group/demand_checkpoint.h"
#include "group/expert_demand.h"

namespace mangohold {
namespace {

constexpr int kRanks = 12;
constexpr int kExperts = 96;
const EvenPlacementOptions kOptions = {.slots_per_rank = 11, .spare_slots = 4};

// Power-law popularity in random order.
std::vector<double> SkewedDemand(Random& random) {
  std::vector<double> demand;
  demand.reserve(kExperts);
  for (int expert = 0; expert < kExperts; ++expert) {
    demand.push_back(1'000.0 / std::pow(expert + 1, 1.3));
  }
  for (int i = kExperts - 1; i > 0; --i) {
    std::swap(demand[i], demand[random.Below(i + 1)]);
  }
  return demand;
}

void ExpectValidPlan(const SetMap& before, const SetMap& after) {
  std::set<int> held;
  for (std::size_t rank = 0; rank < after.size(); ++rank) {
    const std::set<int> experts(after[rank].begin(), after[rank].end());
    EXPECT_EQ(experts.size(), after[rank].size())
        << "a rank holds an expert twice";
    EXPECT_LE(std::ssize(after[rank]), kOptions.slots_per_rank);
    const auto copies = std::ranges::count_if(experts, [&](int expert) {
      return std::ranges::find(before[rank], expert) == before[rank].end();
    });
    EXPECT_LE(copies, kOptions.spare_slots);
    EXPECT_LE(copies, kOptions.max_copies_per_rank);
    held.insert(experts.begin(), experts.end());
  }
  EXPECT_EQ(std::ssize(held), kExperts) << "no rank holds some expert";
}

TEST(EvenPlacement, PlansAreValidAndNearlyBalanced) {
  constexpr int kSeeds = 30;
  const SetMap initial = RoundRobinMap(kRanks, kExperts);
  double sum = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Random random(seed);
    const std::vector<double> demand = SkewedDemand(random);
    SetMap map = initial;
    for (int step = 0; step < 3; ++step) {
      std::vector<int> copies(kRanks);
      const SetMap next = PlanSetMap(map, demand, kOptions, copies);
      ExpectValidPlan(map, next);
      EXPECT_LE(SkewOf(next, demand), SkewOf(map, demand));
      map = next;
    }
    EXPECT_LE(SkewOf(map, demand), SkewOf(initial, demand) / 2)
        << "seed " << seed;
    sum += SkewOf(map, demand);
  }
  EXPECT_LE(sum / kSeeds, 1.3);
}

// One rank takes twelve times as long as the others, which must take over most
// of its load.
TEST(EvenPlacement, RelievesASlowRank) {
  Random random(4);
  const std::vector<double> demand = SkewedDemand(random);
  EvenPlacementOptions options = kOptions;
  options.slowdowns = std::vector<double>(kRanks, 1.0);
  options.slowdowns[5] = 12.0;
  SetMap map = RoundRobinMap(kRanks, kExperts);
  for (int step = 0; step < 6; ++step) {
    std::vector<int> copies(kRanks);
    const SetMap next = PlanSetMap(map, demand, options, copies);
    ExpectValidPlan(map, next);
    map = next;
  }
  EXPECT_LE(SkewOf(map, demand, options.slowdowns), 1.5);
}

// 64 ranks with 12 sets of 256 experts. The planner plans one set per call, so
// that its event loop isn't blocked, and approaches a balanced map within a few
// plans.
TEST(EvenPlacement, PlansALargeGroupSetBySet) {
  constexpr int kSets = 12;
  constexpr int kLargeRanks = 64;
  constexpr int kLargeExperts = 256;
  const EvenPlacementOptions options = {.slots_per_rank = 5, .spare_slots = 2};
  Random random(9);
  ExpertDemand demand(kSets);
  for (auto& set : demand) {
    set = ShuffledPowerLaw(kLargeExperts, 1.1, random);
  }
  GroupMap map(kSets, RoundRobinMap(kLargeRanks, kLargeExperts));
  for (int plan = 0; plan < 12; ++plan) {
    EvenPlacementPlanner planner(map, demand, options);
    int calls = 1;
    while (planner.PlanNextSet()) ++calls;
    EXPECT_EQ(calls, kSets);
    EXPECT_EQ(planner.map(), PlanGroupMap(map, demand, options));
    EXPECT_LE(SkewOf(planner.map(), demand), SkewOf(map, demand));
    map = planner.map();
  }
  EXPECT_LE(SkewOf(map, demand), 1.6);
}

TEST(EvenPlacement, KeepsABalancedMap) {
  const GroupMap map = {RoundRobinMap(kRanks, kExperts)};
  const ExpertDemand demand = {std::vector<double>(kExperts, 5.0)};
  EXPECT_EQ(CountCopies(map, PlanGroupMap(map, demand, kOptions)), 0);
  EXPECT_DOUBLE_EQ(SkewOf(map, demand), 1.0);
}

TEST(EvenPlacement, SharesAnExpertsTokensEvenly) {
  const SetMap map = {{0, 1}, {0}, {2}};
  EXPECT_EQ(RankLoads(map, {6, 1, 2}), (std::vector<double>{4, 3, 2}));
}

TEST(DemandEstimate, DiscardsTheEstimateAfterAShift) {
  const GroupMap map = {{{0, 1}, {2, 3}}};
  DemandEstimate estimate;
  for (int period = 0; period < 4; ++period) {
    estimate.Add({100, 100, 100, 100}, 4);
    estimate.EndPeriod(&map);
  }
  estimate.Add({400, 0, 0, 0}, 4);
  estimate.EndPeriod(&map);
  EXPECT_EQ(estimate.demand()[0], (std::vector<double>{400, 0, 0, 0}));
}

// After a power loss, the first few requests may all be alike. Their counts
// must not be taken for a shift in popularity.
TEST(DemandEstimate, FewCountsAreNoShift) {
  const GroupMap map = {{{0, 1}, {2, 3}}};
  DemandEstimate estimate;
  estimate.Restore({{1, 1, 1, 1}}, 400);
  EXPECT_DOUBLE_EQ(estimate.TotalCount(), 400);
  estimate.EndPeriod(&map);
  EXPECT_DOUBLE_EQ(estimate.TotalCount(), 400)
      << "a period without counts changed the estimate";
  estimate.Add({20, 0, 0, 0}, 4);
  estimate.EndPeriod(&map);
  EXPECT_EQ(estimate.demand()[0], (std::vector<double>{80, 60, 60, 60}));
}

TEST(DemandEstimate, RestoreKeepsAnExistingEstimate) {
  DemandEstimate estimate;
  estimate.Add({100, 0, 0, 0}, 4);
  estimate.EndPeriod(nullptr);
  estimate.Restore({{1, 1, 1, 1}}, 400);
  EXPECT_DOUBLE_EQ(estimate.TotalCount(), 100);
}

TEST(DemandEncoding, KeepsTheProportions) {
  const ExpertDemand demand = {{1'000, 500, 0}, {3, 3, 6}};
  EXPECT_EQ(DecodeDemand(EncodeDemand(demand)),
            (ExpertDemand{{250, 125, 0}, {125, 125, 250}}));
  EXPECT_FALSE(DecodeDemand("[[1,2],[3]]"));
  EXPECT_FALSE(DecodeDemand("[[-1]]"));
  EXPECT_FALSE(DecodeDemand("text"));
  EXPECT_EQ(DecodeDemand("[]"), ExpertDemand());
}

TEST(DemandEstimate, SmoothsNoise) {
  const GroupMap map = {{{0, 1}, {2, 3}}};
  DemandEstimate estimate;
  estimate.Add({100, 100, 100, 100}, 4);
  estimate.EndPeriod(&map);
  estimate.Add({120, 100, 80, 100}, 4);
  estimate.EndPeriod(&map);
  EXPECT_EQ(estimate.demand()[0], (std::vector<double>{180, 160, 140, 160}));
}

}  // namespace
}  // namespace mangohold
