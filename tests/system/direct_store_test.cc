// Entries of the direct way and a store in trouble: keys, confirmations, and
// who follows whom.
#include <gtest/gtest.h>
#include <signal.h>

#include <map>
#include <string>
#include <vector>

#include "direct_site.h"

namespace mangohold::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(DirectWay, AKeyThatWasTakenAwayOpensNothing) {
  DirectSite site({});
  site.Start();
  site.PutDeployment(2, {"other"});
  EXPECT_TRUE(WaitFor(
      [&] { return site.Call("GET", "/again/x", "id").status == 401; }));
  EXPECT_EQ(site.Call("GET", "/again/x", "id", "", "other").status, 200);
}

// The store may have taken a key away meanwhile, so that nothing with a key
// runs; the refusal says so and is true.
TEST(DirectWay, WithoutConfirmationNothingWithAKeyRuns) {
  DirectSite site({.revocation_ms = 1'000});
  site.Start();
  site.store().SetFaults({.is_silent = true});
  EXPECT_TRUE(WaitFor(
      [&] { return site.Call("GET", "/again/x", "id").status == 503; }));
  EXPECT_FALSE(site.IsReady(0));
  const int runs = site.backend(0).runs_in_all();
  EXPECT_EQ(site.Call("GET", "/again/x", "id2").status, 503);
  EXPECT_EQ(site.backend(0).runs_in_all(), runs);
  site.store().SetFaults({});
  EXPECT_TRUE(WaitFor(
      [&] { return site.Call("GET", "/again/x", "id3").status == 200; }));
}

TEST(DirectWay, APeerConfirmsAnEntryThatTheStoreTurnsAway) {
  DirectSite site({.entries = 2, .revocation_ms = 1'500});
  site.Start();
  ASSERT_TRUE(WaitFor([&] {
    return site.Log(0).find("peers_alive\",\"count\":1") != std::string::npos;
  }));
  // A stopped process reads nothing from the store; woken, it is told by its
  // peer before it hears from the store again.
  site.entry(1).Signal(SIGSTOP);
  std::this_thread::sleep_for(seconds(2));
  site.entry(1).Signal(SIGCONT);
  EXPECT_TRUE(WaitFor([&] {
    return site.Call("GET", "/again/x", "id", "", "k", 1).status == 200;
  }));
}

TEST(DirectWay, LostHistoryAndLapsedLeasesAreMended) {
  DirectSite site({.entries = 2});
  site.Start();
  ASSERT_TRUE(WaitFor([&] { return site.store().Has("members/entry-1"); }));
  site.store().SetFaults({.forgets_history = true});
  site.store().LapseLeases();
  EXPECT_TRUE(WaitFor([&] {
    return site.store().Has("members/entry-0") &&
           site.store().Has("members/entry-1");
  }));
  site.PutDeployment(3, {"k3"});
  EXPECT_TRUE(WaitFor([&] {
    return site.Call("GET", "/again/x", "id", "", "k3").status == 200;
  }));
}

// The store comes back from an older copy, twice, while one entry can't reach
// it and three follow it through their zone's watcher.
TEST(DirectWay, AStoreThatComesBackFromAnOlderCopyTakesNothingBack) {
  DirectSite site({.entries = 4, .backends = 3, .most_direct_followers = 2});
  site.Start();
  const auto works = [&](const std::string& id, const std::string& key) {
    for (int entry = 0; entry < 4; ++entry) {
      const std::string name = id + std::to_string(entry);
      if (site.Call("GET", "/again/x", name, "", key, entry).status != 200) {
        return false;
      }
    }
    return true;
  };
  ASSERT_TRUE(WaitFor([&] { return works("a", "k"); }));
  for (int era = 0; era < 2; ++era) {
    const std::string mark = std::to_string(era);
    const int version = 10 * (era + 1);
    site.PutDeployment(version, {"k", "old" + mark});
    site.ListBackend(0, "ready");
    ASSERT_TRUE(WaitFor([&] { return works("b" + mark, "old" + mark); }));
    site.store().Snapshot();
    // The key is taken away, one backend server leaves and a zone is emptied.
    site.PutDeployment(version + 1, {"k"});
    site.ListBackend(0, "draining");
    ASSERT_TRUE(WaitFor([&] {
      return site.Call("GET", "/again/x", "c" + mark, "", "old" + mark, 3)
                 .status == 401;
    }));
    std::this_thread::sleep_for(milliseconds(600));
    site.store().SetFaults({.is_silent = true});
    std::this_thread::sleep_for(milliseconds(300));
    site.store().Restore();
    site.store().SetFaults({});
    // For as long as nothing is written again, and after.
    const int before = site.backend(0).runs_in_all();
    for (int round = 0; round < 12; ++round) {
      for (int entry = 0; entry < 4; ++entry) {
        const std::string id =
            "d" + mark + std::to_string(round) + std::to_string(entry);
        EXPECT_EQ(
            site.Call("GET", "/again/x", id, "", "old" + mark, entry).status,
            401);
        EXPECT_EQ(site.Call("GET", "/again/x", id + "k", "", "k", entry).status,
                  200);
      }
      if (round == 8) {
        site.PutDeployment(version + 1, {"k"});
        site.ListBackend(0, "draining");
      }
      std::this_thread::sleep_for(milliseconds(150));
    }
    EXPECT_EQ(site.backend(0).runs_in_all(), before);
    site.PutDeployment(version + 2, {"k", "new" + mark});
    ASSERT_TRUE(WaitFor([&] { return works("e" + mark, "new" + mark); }));
    for (int entry = 0; entry < 4; ++entry) {
      EXPECT_TRUE(WaitFor([&] {
        return site.store().Has("members/entry-" + std::to_string(entry));
      }));
    }
  }
}

// Through whom an entry follows the store; empty: by itself.
std::string SourceOf(const DirectSite& site, int entry) {
  const std::string log = site.Log(entry);
  const std::string mark = "store_followed\",\"through\":\"";
  const std::size_t at = log.rfind(mark);
  if (at == std::string::npos) return {};
  const std::size_t begin = at + mark.size();
  return log.substr(begin, log.find('"', begin) - begin);
}

// Waits until all entries but one follow that one, and tells which it is; -1 if
// it doesn't come to that.
int WatcherOf(const DirectSite& site, int entries) {
  int watcher = -1;
  WaitFor([&] {
    std::map<std::string, int> followers;
    for (int i = 0; i < entries; ++i) ++followers[SourceOf(site, i)];
    for (const auto& [source, count] : followers) {
      if (!source.empty() && count == entries - 1) {
        watcher = source.back() - '0';
      }
    }
    return watcher >= 0;
  });
  return watcher;
}

// One of four entries follows the store for the others. When it stands still
// the others go on.
TEST(DirectWay, EntriesFollowTheStoreThroughTheirZonesWatchers) {
  constexpr int kEntries = 4;
  DirectSite site({.entries = kEntries, .most_direct_followers = 1});
  site.Start();
  const int watching = WatcherOf(site, kEntries);
  ASSERT_GE(watching, 0);
  std::vector<int> others;
  for (int i = 0; i < kEntries; ++i) {
    if (i != watching) others.push_back(i);
  }
  site.PutDeployment(3, {"k3"});
  for (int i = 0; i < kEntries; ++i) {
    EXPECT_TRUE(WaitFor([&] {
      return site.Call("GET", "/again/x", "id", "", "k3", i).status == 200;
    })) << "entry "
        << i;
  }
  site.entry(watching).Signal(SIGSTOP);
  site.PutDeployment(4, {"k4"});
  for (const int i : others) {
    EXPECT_TRUE(WaitFor([&] {
      return site.Call("GET", "/again/x", "id", "", "k4", i).status == 200;
    })) << "entry "
        << i;
  }
  site.entry(watching).Signal(SIGCONT);
  EXPECT_TRUE(WaitFor([&] {
    return site.Call("GET", "/again/x", "id", "", "k4", watching).status == 200;
  }));
}

// Guards against a removal that was held back at entries which the store
// served, since the one that they followed it through was refused.
TEST(DirectWay, ARemovalIsNotHeldBackWhenTheWatcherIsCutOff) {
  constexpr int kEntries = 4;
  DirectSite site({.entries = kEntries,
                   .backends = 2,
                   .most_direct_followers = 1,
                   .has_store_links = true});
  site.Start();
  const int watching = WatcherOf(site, kEntries);
  ASSERT_GE(watching, 0);
  // Right after their start entries can't tell whether the store was away.
  std::this_thread::sleep_for(milliseconds(2'500));
  site.store_link(watching).Cut();
  site.store().Remove("servers/" + site.backend(0).id());
  for (int i = 0; i < kEntries; ++i) {
    if (i == watching) continue;
    EXPECT_TRUE(WaitFor([&] {
      return site.Log(i).find("backend_departed") != std::string::npos;
    })) << "entry "
        << i;
    EXPECT_EQ(site.Log(i).find("backend_kept"), std::string::npos);
    const int before = site.backend(0).runs_in_all();
    for (int call = 0; call < 10; ++call) {
      const std::string id = std::to_string(i) + "-" + std::to_string(call);
      EXPECT_EQ(site.Call("GET", "/again/x", id, "", "k", i).status, 200);
    }
    EXPECT_EQ(site.backend(0).runs_in_all(), before);
  }
}

}  // namespace
}  // namespace mangohold::testing
