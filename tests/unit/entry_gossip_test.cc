#include "peer/entry_gossip.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "core/random.h"

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Member Entry(const std::string& name) {
  return {.id = InstanceId(name),
          .role = MemberRole::kEntry,
          .zone = ZoneName("north"),
          .caller = Endpoint(name + ":80"),
          .peer = Endpoint(name + ":70"),
          .admin = Endpoint(name + ":90")};
}

TEST(EntryGossip, AMessageSurvivesItsEncoding) {
  const GossipMessage message = {
      .sender = Entry("a"),
      .is_leaving = true,
      .mark_us = 1,
      .returned_mark_us = 2,
      .returned_held_us = 3,
      .deployment = Revision(4),
      .confirmed_age_us = 5,
      .shares = {
          {.backend = InstanceId("b"), .requests = 6, .unread_tokens = 7}}};
  const auto decoded = DecodeGossip(EncodeGossip(message));
  ASSERT_TRUE(decoded);
  const GossipMessage read = decoded.value_or(GossipMessage());
  EXPECT_EQ(read.sender.admin, Endpoint("a:90"));
  EXPECT_TRUE(read.is_leaving);
  EXPECT_EQ(read.returned_held_us, 3);
  EXPECT_EQ(read.deployment, Revision(4));
  EXPECT_EQ(read.shares[0].unread_tokens, 7);
}

TEST(EntryGossip, BytesThatAreNoMessageAreDropped) {
  EXPECT_FALSE(DecodeGossip(""));
  EXPECT_FALSE(DecodeGossip("hello"));
  std::string bytes = EncodeGossip({.sender = Entry("a")});
  bytes.resize(bytes.size() / 2);
  EXPECT_FALSE(DecodeGossip(bytes));
}

// A confirmation that travels never looks younger than it is, whatever the
// delays, losses and the difference between the clocks.
TEST(EntryGossip, AConfirmationNeverLooksYoungerThanItIs) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Random random(seed);
    EntryGossip told({.self = Entry("told")});
    EntryGossip teller({.self = Entry("teller")});
    told.SetListed({Entry("teller")});
    teller.SetListed({Entry("told")});
    // True time, and how far the teller's clock is ahead of it.
    TimePoint now = TimePoint() + seconds(1'000);
    const Duration ahead = seconds(random.Below(500));
    TimePoint confirmed = now;  // in true time
    int heard = 0;
    for (int round = 0; round < 40; ++round) {
      now += milliseconds(random.Below(300));
      if (random.Below(3) == 0) confirmed = now;
      for (const auto& out : told.NextRound({}, now)) {
        if (random.Below(4) == 0) continue;
        now += milliseconds(random.Below(400));
        teller.OnMessage(out.message, now + ahead);
      }
      now += milliseconds(random.Below(300));
      const EntryGossip::State state = {.deployment = Revision(9),
                                        .confirmed_as_of = confirmed + ahead};
      for (const auto& out : teller.NextRound(state, now + ahead)) {
        const TimePoint truth = confirmed;
        if (random.Below(4) == 0) continue;
        now += milliseconds(random.Below(2'000));  // delayed on its way
        const auto news = told.OnMessage(out.message, now);
        if (!news.confirmed_as_of) continue;
        ++heard;
        EXPECT_LE(*news.confirmed_as_of, truth) << "seed " << seed;
      }
    }
    EXPECT_GT(heard, 0) << "seed " << seed;
  }
}

TEST(EntryGossip, AFirstMessageConfirmsNothing) {
  EntryGossip gossip({.self = Entry("a")});
  const TimePoint now = TimePoint() + seconds(5);
  const auto news = gossip.OnMessage({.sender = Entry("b")}, now);
  EXPECT_FALSE(news.confirmed_as_of);
}

TEST(EntryGossip, TellsBoundedNumbersAndEverybodyInTurn) {
  EntryGossip gossip({.self = Entry("a"), .fan_out = 8});
  std::vector<Member> listed;
  listed.reserve(30);
  for (int i = 0; i < 30; ++i) listed.push_back(Entry("p" + std::to_string(i)));
  gossip.SetListed(listed);
  std::set<Endpoint> told;
  for (int round = 0; round < 4; ++round) {
    const auto messages = gossip.NextRound({}, TimePoint() + seconds(1));
    EXPECT_EQ(messages.size(), 8U);
    for (const auto& message : messages) told.insert(message.to);
  }
  EXPECT_EQ(told.size(), 30U);
}

TEST(EntryGossip, SilentAndLeavingPeersAreNotAlive) {
  EntryGossip gossip({.self = Entry("a")});
  TimePoint now = TimePoint() + seconds(10);
  gossip.SetListed({Entry("b"), Entry("c")});
  EXPECT_TRUE(gossip.Alive(now).empty());
  gossip.OnMessage({.sender = Entry("b")}, now);
  gossip.OnMessage({.sender = Entry("c"), .is_leaving = true}, now);
  ASSERT_EQ(gossip.Alive(now).size(), 1U);
  EXPECT_EQ(gossip.Alive(now)[0].id, InstanceId("b"));
  EXPECT_EQ(gossip.Known().size(), 3U);
  now += seconds(2);
  EXPECT_TRUE(gossip.Alive(now).empty());
  // Those that are listed may still be sending.
  EXPECT_EQ(gossip.Known().size(), 3U);
}

// A zone that is cut off loses its leases, and goes on sending to its backend
// servers: bounds over all entries have to count it.
TEST(EntryGossip, EntriesThatFellSilentCountForAWhile) {
  EntryGossip gossip({.self = Entry("a")});
  TimePoint now = TimePoint() + seconds(10);
  gossip.SetListed({Entry("b"), Entry("c"), Entry("d")});
  gossip.OnMessage({.sender = Entry("c"), .is_leaving = true}, now);
  gossip.NextRound({}, now);
  gossip.SetListed({Entry("d")});
  now += seconds(10);
  EXPECT_EQ(gossip.NextRound({}, now).size(), 1U) << "only d is told anything";
  EXPECT_EQ(gossip.Known().size(), 3U) << "a, d, and b, which didn't leave";
  now += seconds(60);
  gossip.NextRound({}, now);
  EXPECT_EQ(gossip.Known().size(), 2U);
}

}  // namespace
}  // namespace mangohold
