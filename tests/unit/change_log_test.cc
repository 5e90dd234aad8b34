#include "store/change_log.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "core/random.h"
#include "store/change_relay.h"
#include "store/store_replica.h"

namespace mangohold {
namespace {

StoreEvent Written(const std::string& key, std::uint64_t revision) {
  return {.item = {.key = key,
                   .value = std::to_string(revision),
                   .revision = Revision(revision)}};
}

TEST(ChangeLog, ReturnsNothingBeforeTheFirstListing) {
  const ChangeLog log;
  EXPECT_FALSE(log.Since(Revision(0)));
}

TEST(ChangeLog, ReturnsTheChangesAfterARevision) {
  ChangeLog log;
  log.OnListed(Revision(10));
  log.OnEvents({.events = {Written("a", 11), Written("b", 13)},
                .revision = Revision(14)});
  EXPECT_FALSE(log.Since(Revision(9))) << "it may lack a change";
  EXPECT_EQ(log.Since(Revision(10))->events.size(), 2U);
  EXPECT_EQ(log.Since(Revision(12))->events.size(), 1U);
  EXPECT_EQ(log.Since(Revision(12))->revision, Revision(14));
  EXPECT_TRUE(log.Since(Revision(20))->events.empty());
  EXPECT_EQ(log.Since(Revision(20))->revision, Revision(20))
      << "the revision never decreases";
}

TEST(ChangeLog, EvictsTheOldestAndReturnsNothingForThem) {
  ChangeLog log;
  log.OnListed(Revision(0));
  for (std::uint64_t i = 1; i <= 5'000; ++i) {
    log.OnEvents({.events = {Written("k", i)}, .revision = Revision(i)});
  }
  EXPECT_FALSE(log.Since(Revision(100)));
  EXPECT_TRUE(log.Since(Revision(4'990)));
}

// A follower that alternates between two watchers with different lag ends with
// the same items as the store, and never replaces an item by an older one.
TEST(ChangeLog, AFollowerOfTwoWatchersMissesNothing) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Random random(seed);
    std::vector<StoreEvent> history;
    std::vector<ChangeLog> watchers(2);
    std::vector<std::size_t> read(2);
    StoreReplica follower;
    follower.BeginListing();
    follower.OnPage({.revision = Revision(0)});
    for (ChangeLog& watcher : watchers) watcher.OnListed(Revision(0));
    const auto advance = [&](std::size_t watcher, std::size_t to) {
      for (; read[watcher] < to; ++read[watcher]) {
        const StoreEvent& event = history[read[watcher]];
        watchers[watcher].OnEvents(
            {.events = {event}, .revision = event.item.revision});
      }
    };
    std::map<std::string, Revision> seen;
    for (int step = 0; step < 300; ++step) {
      history.push_back(
          Written("k" + std::to_string(random.Below(5)), history.size() + 1));
      const auto watcher = random.Below(2);
      advance(watcher,
              read[watcher] + random.Below(history.size() - read[watcher] + 1));
      const auto events = watchers[random.Below(2)].Since(follower.revision());
      ASSERT_TRUE(events) << "seed " << seed;
      const auto decoded = DecodeRelayed(EncodeRelayed({.events = *events}));
      ASSERT_TRUE(decoded.ok());
      follower.OnEvents(decoded->events);
      for (const auto& [key, item] : follower.items()) {
        EXPECT_GE(item.revision, seen[key]) << "seed " << seed;
        seen[key] = item.revision;
      }
    }
    advance(0, history.size());
    follower.OnEvents(*watchers[0].Since(follower.revision()));
    std::map<std::string, Revision> last;
    for (const StoreEvent& event : history) {
      last[event.item.key] = event.item.revision;
    }
    for (const auto& [key, revision] : last) {
      ASSERT_NE(follower.Find(key), nullptr);
      EXPECT_EQ(follower.Find(key)->revision, revision) << "seed " << seed;
    }
  }
}

}  // namespace
}  // namespace mangohold
