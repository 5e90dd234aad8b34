#include "group/map_delta.h"

#include <gtest/gtest.h>

#include "core/random.h"

namespace mangohold {
namespace {

GroupMap RandomMap(Random& random) {
  GroupMap map(3, SetMap(6));
  for (auto& set : map) {
    for (auto& experts : set) {
      for (int expert = 0; expert < 20; ++expert) {
        if (random.Below(4) == 0) experts.push_back(expert);
      }
    }
  }
  return map;
}

TEST(MapDelta, TurnsOneMapIntoAnother) {
  Random random(3);
  for (int i = 0; i < 200; ++i) {
    const GroupMap from = RandomMap(random);
    const GroupMap to = RandomMap(random);
    const MapDelta delta = MakeDelta(MapVersion(7), from, to);
    EXPECT_EQ(delta.base, MapVersion(7));
    EXPECT_EQ(ApplyDelta(from, delta), to);
  }
}

TEST(MapDelta, ContainsOnlyChangedRows) {
  const GroupMap from = {{{0, 1}, {2}, {3}}};
  const GroupMap to = {{{0, 1}, {2}, {1, 3}}};
  const MapDelta delta = MakeDelta(MapVersion(), from, to);
  ASSERT_EQ(delta.rows.size(), 1U);
  EXPECT_EQ(delta.rows[0].rank, 2);
  EXPECT_EQ(delta.rows[0].added, std::vector<int>{1});
  EXPECT_TRUE(delta.rows[0].dropped.empty());
}

// Without the digest, a delta could be applied to any base.
TEST(MapDelta, FailsOnAnotherBase) {
  Random random(5);
  for (int i = 0; i < 200; ++i) {
    const GroupMap from = RandomMap(random);
    const GroupMap other = RandomMap(random);
    const GroupMap to = RandomMap(random);
    EXPECT_EQ(ApplyDelta(other, MakeDelta(MapVersion(7), from, to)),
              std::nullopt);
  }
}

TEST(MapDelta, FailsOnARowOutOfRange) {
  MapDelta delta = MakeDelta(MapVersion(), {{{0}, {1}}}, {{{0}, {1}}});
  delta.rows.push_back({.set = 4, .rank = 0});
  EXPECT_EQ(ApplyDelta({{{0}, {1}}}, delta), std::nullopt);
}

TEST(MapCache, ResolvesAgainstTheBaseVersion) {
  const GroupMap first = {{{0}, {1}, {2}}};
  const GroupMap second = {{{0}, {1}, {0, 2}}};
  const GroupMap third = {{{0, 1}, {1}, {0, 2}}};
  MapCache cache;
  const MapDelta delta = MakeDelta(MapVersion(2), second, third);
  EXPECT_EQ(cache.Resolve(MapVersion(4), delta), std::nullopt);
  cache.Put(MapVersion(1), first);
  EXPECT_EQ(cache.Resolve(MapVersion(4), delta), std::nullopt);
  EXPECT_EQ(
      cache.Resolve(MapVersion(2), MakeDelta(MapVersion(1), first, second)),
      second);
  EXPECT_EQ(cache.Resolve(MapVersion(4), delta), third);
  EXPECT_TRUE(cache.Contains(MapVersion(4)));
}

}  // namespace
}  // namespace mangohold
