#include "peer/zone_watchers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace mangohold {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow = TimePoint() + seconds(100);

std::vector<Member> Fleet(int zones, int entries) {
  std::vector<Member> fleet;
  fleet.reserve(static_cast<std::size_t>(entries));
  for (int i = 0; i < entries; ++i) {
    fleet.push_back({.id = InstanceId("e" + std::to_string(i)),
                     .zone = ZoneName("z" + std::to_string(i % zones))});
  }
  return fleet;
}

WatcherSelector SelectorOf(const Member& self, std::vector<Member> fleet) {
  std::erase_if(fleet, [&](const Member& m) { return m.id == self.id; });
  WatcherSelector choice({.self = self});
  choice.SetAlive(fleet);
  return choice;
}

// The watcher that is selected; empty: the store.
InstanceId SelectedBy(const WatcherSelector& selector, TimePoint now) {
  return selector.Select(now).value_or(Member()).id;
}

TEST(WatcherSelector, SmallFleetsFollowTheStoreDirectly) {
  const auto fleet = Fleet(3, 9);
  for (const Member& self : fleet) {
    const WatcherSelector choice = SelectorOf(self, fleet);
    EXPECT_FALSE(choice.IsServing());
    EXPECT_FALSE(choice.Select(kNow));
  }
}

// All entries that know the same peers select the same watchers, at any fleet
// size.
TEST(WatcherSelector, OneOfEachZoneFollowsTheStoreForTheOthers) {
  for (const int entries : {30, 100, 300}) {
    const auto fleet = Fleet(5, entries);
    std::map<ZoneName, InstanceId> watchers;
    std::map<ZoneName, InstanceId> standbys;
    for (const Member& self : fleet) {
      const WatcherSelector choice = SelectorOf(self, fleet);
      auto& role = choice.IsWatcher() ? watchers : standbys;
      if (choice.IsServing()) {
        EXPECT_TRUE(role.emplace(self.zone, self.id).second);
      }
    }
    EXPECT_EQ(watchers.size(), 5U);
    EXPECT_EQ(standbys.size(), 5U);
    for (const Member& self : fleet) {
      const InstanceId watcher = SelectedBy(SelectorOf(self, fleet), kNow);
      const bool is_own = watchers[self.zone] == self.id;
      EXPECT_EQ(watcher, is_own ? InstanceId() : watchers[self.zone]);
    }
  }
}

TEST(WatcherSelector, WatchersThatFailAreAvoidedForAWhile) {
  const auto fleet = Fleet(2, 40);
  const auto self = std::ranges::find_if(fleet, [&](const Member& member) {
    return !SelectorOf(member, fleet).IsServing();
  });
  ASSERT_NE(self, fleet.end());
  WatcherSelector choice = SelectorOf(*self, fleet);
  const InstanceId first = SelectedBy(choice, kNow);
  choice.OnFailed(first, kNow);
  const InstanceId second = SelectedBy(choice, kNow);
  EXPECT_FALSE(second.empty());
  EXPECT_NE(second, first);
  choice.OnFailed(second, kNow);
  EXPECT_TRUE(SelectedBy(choice, kNow).empty()) << "the store is asked";
  EXPECT_EQ(SelectedBy(choice, kNow + seconds(3)), first);
}

}  // namespace
}  // namespace mangohold
