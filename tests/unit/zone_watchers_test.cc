#include "peer/zone_watchers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow = TimePoint() + seconds(100);

std::vector<Member> Fleet(int zones, int entries) {
  std::vector<Member> fleet;
  for (int i = 0; i < entries; ++i) {
    fleet.push_back({.id = InstanceId("e" + std::to_string(i)),
                     .zone = ZoneName("z" + std::to_string(i % zones))});
  }
  return fleet;
}

WatcherChoice ChoiceOf(const Member& self, std::vector<Member> fleet) {
  std::erase_if(fleet, [&](const Member& m) { return m.id == self.id; });
  WatcherChoice choice({.self = self});
  choice.SetAlive(fleet);
  return choice;
}

TEST(WatcherChoice, FewEntriesFollowTheStoreThemselves) {
  const auto fleet = Fleet(3, 9);
  for (const Member& self : fleet) {
    const WatcherChoice choice = ChoiceOf(self, fleet);
    EXPECT_FALSE(choice.IsServing());
    EXPECT_FALSE(choice.Choose(kNow));
  }
}

// All entries that know the same peers agree on the watchers, at any size.
TEST(WatcherChoice, TwoOfEachZoneFollowTheStoreForTheOthers) {
  for (const int entries : {30, 100, 300}) {
    const auto fleet = Fleet(5, entries);
    std::map<ZoneName, std::set<InstanceId>> serving;
    for (const Member& self : fleet) {
      if (ChoiceOf(self, fleet).IsServing()) {
        serving[self.zone].insert(self.id);
      }
    }
    ASSERT_EQ(serving.size(), 5U);
    for (const auto& [zone, ids] : serving) EXPECT_EQ(ids.size(), 2U);
    for (const Member& self : fleet) {
      const auto watcher = ChoiceOf(self, fleet).Choose(kNow);
      if (serving[self.zone].contains(self.id)) {
        EXPECT_FALSE(watcher);
      } else {
        ASSERT_TRUE(watcher);
        EXPECT_TRUE(serving[self.zone].contains(watcher->id));
      }
    }
  }
}

TEST(WatcherChoice, WatchersThatFailOrLagAreAvoidedForAWhile) {
  const auto fleet = Fleet(2, 40);
  const auto self = std::ranges::find_if(fleet, [&](const Member& member) {
    return ChoiceOf(member, fleet).Choose(kNow).has_value();
  });
  ASSERT_NE(self, fleet.end());
  WatcherChoice choice = ChoiceOf(*self, fleet);
  const InstanceId first = choice.Choose(kNow)->id;
  choice.OnAnswer(first, milliseconds(700), kNow);
  EXPECT_EQ(choice.Choose(kNow)->id, first);
  choice.OnAnswer(first, milliseconds(2'500), kNow);
  const auto second = choice.Choose(kNow);
  ASSERT_TRUE(second);
  EXPECT_NE(second->id, first);
  choice.OnFailed(second->id, kNow);
  EXPECT_FALSE(choice.Choose(kNow)) << "the store is asked";
  EXPECT_EQ(choice.Choose(kNow + seconds(3))->id, first);
}

}  // namespace
}  // namespace mangohold
