// The network load of the agents of a large group on slow links: maps,
// statuses, choices, and the search for engines whose agents are silent.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "bench/popularity.h"
#include "group/count_aggregation.h"
#include "group/engine_search.h"
#include "group/even_placement.h"
#include "group/rank_messages.h"
#include "group/send_pacer.h"

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRanks = 64;
constexpr int kSets = 12;
constexpr int kExperts = 256;
// A link of 6 Mbit/s.
constexpr double kLinkBytesPerS = 750e3;
constexpr TimePoint kStart = TimePoint() + seconds(100);

std::vector<CollectorCandidate> ThreeZones() {
  std::vector<CollectorCandidate> ranks(kRanks);
  for (int rank = 0; rank < kRanks; ++rank) {
    ranks[rank] = {.zone = ZoneName(std::to_string(rank % 3)),
                   .is_responsive = true};
  }
  return ranks;
}

TEST(GroupLinks, DeltaOfAPlanIsMuchSmallerThanItsMap) {
  Random random(4);
  ExpertDemand demand(kSets);
  for (auto& set : demand) set = ShuffledPowerLaw(kExperts, 1.1, random);
  const GroupMap current(kSets, RoundRobinMap(kRanks, kExperts));
  const GroupMap next =
      PlanGroupMap(current, demand, {.slots_per_rank = 5, .spare_slots = 2});
  RankMessage message = {.kind = RankMessageKind::kCommand};
  message.command = {.order = OrderKind::kPrepare, .map = next};
  const std::size_t whole = EncodeRankMessage(message).size();
  message.command = {.order = OrderKind::kPrepare,
                     .delta = std::make_shared<MapDelta>(
                         MakeDelta(MapVersion(), current, next))};
  const std::string difference = EncodeRankMessage(message);
  EXPECT_LT(difference.size(), whole / 2);
  // All ranks receive it within half a second, at 60 percent of the link's
  // rate.
  SendPacer pacer({.bytes_per_s = kLinkBytesPerS * 0.6});
  for (int rank = 1; rank < kRanks; ++rank) {
    pacer.Queue({.to = Endpoint(std::to_string(rank)), .bytes = difference});
  }
  TimePoint now = kStart;
  while (!pacer.is_empty()) {
    now += milliseconds(10);
    pacer.TakeDue(now);
  }
  EXPECT_LE(now - kStart, milliseconds(500));
  const RankMessage read =
      DecodeRankMessage(difference).value_or(RankMessage());
  ASSERT_TRUE(read.command.delta);
  EXPECT_EQ(ApplyDelta(current, *read.command.delta), Canonicalize(next));
}

// If each rank sends its counts to the leader every 150 ms, they exceed the
// rate of the leader's link. Sums of up to eight ranks every 320 ms must stay
// below a quarter of it.
TEST(GroupLinks, SummedChoicesFitTheLeadersLink) {
  RankMessage message = {.kind = RankMessageKind::kChoices};
  message.counts = ExpertCounts(std::size_t{kSets} * kExperts, 40);
  const auto bytes = static_cast<double>(EncodeRankMessage(message).size());
  EXPECT_GT(bytes * kRanks / 0.150, kLinkBytesPerS);
  const auto collectors = AssignCollectors(ThreeZones(), 0);
  std::map<int, int> members;
  for (const auto& collector : collectors) {
    if (collector) ++members[*collector];
  }
  EXPECT_LT(bytes * static_cast<double>(members.size()) / 0.320,
            kLinkBytesPerS / 4);
  for (const auto& [collector, count] : members) EXPECT_LE(count, 8);
}

TEST(GroupLinks, CollectorsAreResponsiveRanksOfTheSameZone) {
  auto ranks = ThreeZones();
  ranks[1].is_responsive = false;
  const auto collectors = AssignCollectors(ranks, 0);
  EXPECT_FALSE(collectors[0]) << "the leader needs no collector";
  EXPECT_FALSE(collectors[1]);
  for (int rank = 2; rank < kRanks; ++rank) {
    ASSERT_TRUE(collectors[rank]);
    const int collector = collectors[rank].value_or(0);
    EXPECT_EQ(ranks[collector].zone, ranks[rank].zone);
    EXPECT_NE(collector, 0);
    EXPECT_NE(collector, 1);
  }
}

TEST(GroupLinks, SmallGroupsHaveNoCollectors) {
  const std::vector<CollectorCandidate> ranks(24, {.is_responsive = true});
  for (const auto& collector : AssignCollectors(ranks, 3)) {
    EXPECT_FALSE(collector);
  }
}

TEST(GroupLinks, SumsPreserveAllCounts) {
  ExpertCountSum sums;
  EXPECT_TRUE(sums.Take().empty());
  sums.Add({1, 2});
  sums.Add({1, 0, 5});
  EXPECT_EQ(sums.Take(), (ExpertCounts{2, 2, 5}));
  EXPECT_TRUE(sums.Take().empty()) << "already taken";
  sums.Add({0, 0});
  EXPECT_TRUE(sums.Take().empty()) << "all counts are zero";
}

TEST(GroupLinks, NewerMessageReplacesTheQueuedOne) {
  SendPacer pacer({.bytes_per_s = 1'000, .burst = milliseconds(1)});
  pacer.Queue({.to = Endpoint("a"), .bytes = std::string(500, 'x')});
  EXPECT_EQ(pacer.TakeDue(kStart).size(), 1U);
  pacer.Queue({.to = Endpoint("b"), .bytes = "old"});
  pacer.Queue({.to = Endpoint("b"), .bytes = "new"});
  EXPECT_TRUE(pacer.TakeDue(kStart + milliseconds(400)).empty());
  const auto due = pacer.TakeDue(kStart + milliseconds(500));
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due.front().bytes, "new");
  EXPECT_TRUE(pacer.is_empty());
}

// Guards against querying all engines of all groups every 300 ms, which makes
// the number of calls grow with the fleet.
TEST(GroupLinks, EngineSearchBacksOffAndSkipsOtherGroups) {
  EngineSearch search;
  int searches = 0;
  for (int i = 0; i < 200; ++i) {
    if (search.IsDue(kStart + i * milliseconds(100))) ++searches;
  }
  EXPECT_LE(searches, 8) << "in 20 seconds";
  search.Reset();
  EXPECT_TRUE(search.IsDue(kStart)) << "Reset() ends the backoff";
  const Endpoint engine("10.0.0.1:80");
  const GroupName own("own");
  EXPECT_FALSE(search.IsInOtherGroup(engine, own, kStart));
  search.OnReport(engine, GroupName("other"), kStart);
  EXPECT_TRUE(search.IsInOtherGroup(engine, own, kStart + seconds(19)));
  EXPECT_FALSE(search.IsInOtherGroup(engine, own, kStart + seconds(21)));
  search.OnReport(engine, own, kStart);
  EXPECT_FALSE(search.IsInOtherGroup(engine, own, kStart));
}

}  // namespace
}  // namespace mangohold
