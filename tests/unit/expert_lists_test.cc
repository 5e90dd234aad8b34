#include "group/expert_lists.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>

#include "core/random.h"
#include "group/map_planner.h"

namespace mangohold {
namespace {

constexpr ExpertLayout kLayout = {.sets = 2, .experts = 6, .places = 3};

TEST(ExpertLists, SoundOnesPass) {
  EXPECT_TRUE(CheckLists({{0, 5}, {3}}, kLayout).ok());
  EXPECT_TRUE(CheckLists({{}, {5, 1, 2}}, kLayout).ok());
  EXPECT_TRUE(
      CheckMap({{{0, 2, 4}, {1, 3, 5}}, {{5, 0, 1}, {2, 3, 4}}}, kLayout).ok());
}

TEST(ExpertLists, OnesThatCantBeRightAreRejected) {
  EXPECT_FALSE(CheckLists({}, kLayout).ok()) << "no sets";
  EXPECT_FALSE(CheckLists({{0}}, kLayout).ok()) << "a set is missing";
  EXPECT_FALSE(CheckLists({{0}, {1}, {2}}, kLayout).ok()) << "a set too many";
  EXPECT_FALSE(CheckLists({{6}, {1}}, kLayout).ok()) << "no such expert";
  EXPECT_FALSE(CheckLists({{-1}, {1}}, kLayout).ok()) << "a negative one";
  EXPECT_FALSE(CheckLists({{0}, {17929941}}, kLayout).ok());
  EXPECT_FALSE(CheckLists({{2, 0, 2}, {1}}, kLayout).ok()) << "one twice";
  EXPECT_FALSE(CheckLists({{0, 1, 2, 3}, {1}}, kLayout).ok()) << "too many";
  EXPECT_FALSE(
      CheckMap({{{0, 2, 4}, {1, 3}}, {{5, 0, 1}, {2, 3, 4}}}, kLayout).ok())
      << "an expert that no rank holds";
  EXPECT_FALSE(CheckMap({{{0, 2, 4}, {1, 3, 5}}, {{5, 0, 1}}}, kLayout).ok())
      << "a rank is missing in a set";
  EXPECT_FALSE(CheckMap({}, kLayout).ok());
}

TEST(ExpertLists, UnknownFiguresAreNotChecked) {
  EXPECT_TRUE(CheckLists({{0, 1000}}, {}).ok());
  EXPECT_FALSE(CheckLists({{-1}}, {}).ok());
  EXPECT_FALSE(CheckLists({{7, 7}}, {}).ok());
  EXPECT_TRUE(CheckMap({{{0, 1000}, {1}}}, {}).ok());
}

TEST(ExpertLists, ARankWithoutListsGetsWhatNoOtherHolds) {
  constexpr int kExperts = 4;
  const GroupMap map = {{{0, 1}, {2, 3}}, {{3, 2}, {0, 1}}};
  const ExpertLists first = {{0, 1}, {3, 2}};
  EXPECT_EQ(CompleteMap({first, {{2, 3}, {0, 1}}}, kExperts), map);
  EXPECT_EQ(CompleteMap({first, {}}, kExperts), map);
  EXPECT_EQ(CompleteMap({first, {{2, 17'929'941}, {0, 1}}}, kExperts), map);
  EXPECT_EQ(CompleteMap({first, {}, {}}, kExperts), std::nullopt);
  EXPECT_EQ(CompleteMap({first, {{2}, {0, 1}}}, kExperts), std::nullopt);
  EXPECT_EQ(CompleteMap({first, {{2, 3}}}, kExperts), std::nullopt);
  EXPECT_EQ(CompleteMap({first, first}, 0), std::nullopt);
}

constexpr EngineFigures kEngine = {
    .expert_sets = 2, .experts = 6, .places = 4, .spare_places = 2};

// A number as an engine in trouble may put it in the place of a sound one.
int OddNumber(Random& random) {
  constexpr int kInts[] = {-1,
                           6,
                           7,
                           17'929'941,
                           std::numeric_limits<int>::max(),
                           std::numeric_limits<int>::min()};
  const std::uint64_t index = random.Below(std::size(kInts) + 6);
  return index < std::size(kInts) ? kInts[index]
                                  : static_cast<int>(index - std::size(kInts));
}

// Sound lists of four ranks, of which some numbers, lists or sets are changed,
// dropped or added.
GroupMap OddMap(Random& random) {
  GroupMap map(2, {{0, 4}, {1, 5}, {2, 0}, {3}});
  for (std::uint64_t change = random.Below(4); change > 0; --change) {
    SetMap& set = map[random.Below(map.size())];
    if (set.empty()) continue;
    auto& list = set[random.Below(set.size())];
    switch (random.Below(5)) {
      case 0:
        list.push_back(OddNumber(random));
        break;
      case 1:
        if (!list.empty()) list[random.Below(list.size())] = OddNumber(random);
        break;
      case 2:
        list.clear();
        break;
      case 3:
        set.pop_back();
        break;
      default:
        map.push_back(set);
        break;
    }
  }
  return map;
}

ExpertCounts OddCounts(Random& random) {
  ExpertCounts counts = {400, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 300};
  switch (random.Below(5)) {
    case 0:
      counts.resize(random.Below(30), 50);
      break;
    case 1:
      counts[random.Below(counts.size())] =
          std::numeric_limits<std::int64_t>::max();
      break;
    case 2:
      counts[random.Below(counts.size())] = -1;
      break;
    default:
      break;
  }
  return counts;
}

ExpertDemand OddDemand(Random& random) {
  const std::uint64_t sets = 1 + random.Below(3);
  return ExpertDemand(sets, std::vector<double>(5 + random.Below(3), 80));
}

// Guards against the end of each process that leads a group: a number in the
// list of one rank, or the length of its counts, is used as an index when the
// leader plans the next map (issue 71, review/14).
TEST(ExpertLists, OddOnesEndNoLeader) {
  constexpr std::uint64_t kSeeds = 20'000;
  int plans = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Random random(seed);
    MapPlanner planner({});
    if (random.Below(2) == 0) planner.Restore(OddDemand(random));
    for (int period = 0; period < 3; ++period) {
      const GroupMap current = OddMap(random);
      planner.Add(OddCounts(random), kEngine);
      planner.EndPeriod(random.Below(4) == 0 ? nullptr : &current);
      if (!planner.Begin(current, {1, 1, 2, 1}, kEngine)) continue;
      while (planner.PlanNextSet()) {
      }
      const auto plan = planner.Take();
      if (!plan) continue;
      ++plans;
      EXPECT_TRUE(CheckMap(plan->next, LayoutOf(kEngine)).ok());
    }
  }
  EXPECT_GT(plans, 0);
}

}  // namespace
}  // namespace mangohold
