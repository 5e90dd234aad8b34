#include "spread/config_replica.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace mangohold {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

std::vector<Instance> Entries(int count, int zones = 1) {
  std::vector<Instance> out;
  out.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    out.push_back({.id = InstanceId("entry-" + std::to_string(i)),
                   .role = InstanceRole::kEntry,
                   .zone = ZoneName("zone-" + std::to_string(i % zones))});
  }
  return out;
}

ConfigReplica EntryReplica(int index, int count, TimePoint started = kStart,
                           int zones = 1) {
  ConfigReplica replica(
      {.instance = InstanceId("entry-" + std::to_string(index)),
       .zone = ZoneName("zone-" + std::to_string(index % zones)),
       .started_at = started});
  replica.OnInstances(Entries(count, zones), started);
  return replica;
}

TreeUpdate ZoneChange(std::uint64_t revision) {
  return {.documents = {{.path = "/zones/suva",
                         .revision = Revision(revision),
                         .text = R"({"state": "out"})"}},
          .complete_through = Revision(revision)};
}

// `requester` polls `peer` at `now` and receives the reply at once.
void Poll(ConfigReplica& requester, const ConfigReplica& peer, TimePoint now) {
  const SyncRequest request = requester.MakeRequest(Millis(0));
  requester.OnReply(peer.MakeReply(request, Millis(0), now), now, now);
}

TEST(ConfigReplica, ConfirmationPropagatesWithItsAge) {
  ConfigReplica watcher = EntryReplica(0, 2);  // one of two is no majority
  watcher.OnStoreUpdate(ZoneChange(1), kStart);
  ConfigReplica agent({.instance = InstanceId("agent"),
                       .role = InstanceRole::kBackend,
                       .started_at = kStart});
  const TimePoint asked_at = kStart + Millis(400);
  const SyncRequest request = agent.MakeRequest(Millis(300));
  // The watcher holds the request for 300 ms; the reply takes 5 s to arrive.
  const TimePoint answered_at = asked_at + Millis(300);
  const SyncReply reply = watcher.MakeReply(request, Millis(300), answered_at);
  agent.OnReply(reply, asked_at, answered_at + std::chrono::seconds(5));
  EXPECT_LE(agent.confirmed_as_of(answered_at), kStart + Millis(1));
  EXPECT_FALSE(agent.tree().configuration()->IsZoneIn(ZoneName("suva")));
}

TEST(ConfigReplica, MajorityConfirmsWithoutTheStore) {
  ConfigReplica a = EntryReplica(0, 3);
  ConfigReplica b = EntryReplica(1, 3);
  ConfigReplica c = EntryReplica(2, 3);
  for (ConfigReplica* replica : {&a, &b, &c}) {
    replica->OnStoreUpdate({.complete_through = Revision(1)}, kStart);
  }
  const TimePoint later = kStart + std::chrono::minutes(10);
  EXPECT_EQ(a.confirmed_as_of(later), kStart);
  EXPECT_FALSE(a.HearsMajority(later));
  Poll(a, b, later);
  EXPECT_EQ(a.confirmed_as_of(later), later);
  EXPECT_TRUE(a.HearsMajority(later));
  // The minority of one stays unconfirmed.
  EXPECT_EQ(c.confirmed_as_of(later), kStart);
}

TEST(ConfigReplica, NewEntryQualifiesOnlyAfterAcceptTimeout) {
  ConfigReplica a = EntryReplica(0, 3);
  ConfigReplica b = EntryReplica(1, 3);
  a.OnStoreUpdate(ZoneChange(1), kStart);
  b.OnStoreUpdate(ZoneChange(1), kStart);
  const TimePoint started = kStart + std::chrono::minutes(1);
  ConfigReplica newcomer = EntryReplica(2, 3, started);
  const TimePoint early = started + ConfigReplica::kAcceptTimeout - Millis(1);
  Poll(newcomer, a, early);
  Poll(newcomer, b, early);
  EXPECT_FALSE(newcomer.is_qualified());
  EXPECT_EQ(newcomer.tree().complete_through(), Revision(1));
  const TimePoint late = started + ConfigReplica::kAcceptTimeout;
  Poll(newcomer, a, late);
  Poll(newcomer, b, late);
  EXPECT_TRUE(newcomer.is_qualified());
}

TEST(ConfigReplica, RejectsLowerStoreRevision) {
  ConfigReplica a = EntryReplica(0, 1);
  EXPECT_TRUE(a.OnStoreUpdate(ZoneChange(5), kStart));
  EXPECT_FALSE(
      a.OnStoreUpdate({.complete_through = Revision(3)}, kStart + Millis(10)));
  EXPECT_EQ(a.tree().complete_through(), Revision(5));
  EXPECT_EQ(a.confirmed_as_of(kStart), kStart);
}

TEST(ConfigReplica, NumberOfWatchersIsBoundedPerZone) {
  for (const int count : {7, 70, 410}) {
    int watchers = 0;
    for (int i = 0; i < count; ++i) {
      ConfigReplica replica = EntryReplica(i, count, kStart, 7);
      replica.OnStoreUpdate({}, kStart);
      if (replica.ShouldWatch(kStart)) ++watchers;
    }
    EXPECT_EQ(watchers, std::min(count, 14)) << count;
  }
}

TEST(ConfigReplica, TruncatedUpdateConfirmsNothing) {
  ConfigReplica a = EntryReplica(0, 1);
  TreeUpdate update;
  const std::string text =
      "{} //" + std::string(200'000, 'x');  // a comment is part of the text
  for (std::uint64_t i = 1; i <= 5; ++i) {
    update.documents.push_back({.path = "/workspaces/w" + std::to_string(i),
                                .revision = Revision(i),
                                .text = text});
  }
  update.complete_through = Revision(5);
  a.OnStoreUpdate(update, kStart);
  ConfigReplica agent({.instance = InstanceId("agent"),
                       .role = InstanceRole::kBackend,
                       .started_at = kStart});
  Poll(agent, a, kStart);
  EXPECT_EQ(agent.tree().complete_through(), Revision(2));
  EXPECT_FALSE(agent.confirmed_as_of(kStart).has_value());
  Poll(agent, a, kStart);
  Poll(agent, a, kStart);
  EXPECT_EQ(agent.tree().complete_through(), Revision(5));
  EXPECT_TRUE(agent.confirmed_as_of(kStart).has_value());
}

}  // namespace
}  // namespace mangohold
