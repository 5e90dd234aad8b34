#include "peer/entry_gossip.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

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
      .timestamp_us = 1,
      .echoed_timestamp_us = 2,
      .echo_delay_us = 3,
      .deployment = DeploymentVersion(4),
      .confirmed_age_us = 5,
      .shares = {
          {.backend = InstanceId("b"), .requests = 6, .prefill_tokens = 7}}};
  const auto decoded = DecodeGossip(EncodeGossip(message));
  ASSERT_TRUE(decoded);
  const GossipMessage read = decoded.value_or(GossipMessage());
  EXPECT_EQ(read.sender.admin, Endpoint("a:90"));
  EXPECT_TRUE(read.is_leaving);
  EXPECT_EQ(read.echo_delay_us, 3);
  EXPECT_EQ(read.deployment, DeploymentVersion(4));
  EXPECT_EQ(read.shares[0].prefill_tokens, 7);
}

TEST(EntryGossip, InvalidBytesAreRejected) {
  EXPECT_FALSE(DecodeGossip(""));
  EXPECT_FALSE(DecodeGossip("hello"));
  std::string bytes = EncodeGossip({.sender = Entry("a")});
  bytes.resize(bytes.size() / 2);
  EXPECT_FALSE(DecodeGossip(bytes));
}

// A confirmation that is passed on never looks newer than it is, whatever the
// delays, losses and differences between the clocks.
TEST(EntryGossip, AConfirmationNeverLooksNewerThanItIs) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Random random(seed);
    EntryGossip receiver({.self = Entry("told")});
    EntryGossip sender({.self = Entry("teller")});
    receiver.SetListed({Entry("teller")});
    sender.SetListed({Entry("told")});
    // The true time, and how far the sender's clock is ahead of it.
    TimePoint now = TimePoint() + seconds(1'000);
    const Duration clock_offset = seconds(random.Below(500));
    TimePoint confirmed = now;  // in true time
    int heard = 0;
    for (int round = 0; round < 40; ++round) {
      now += milliseconds(random.Below(300));
      if (random.Below(3) == 0) confirmed = now;
      for (const auto& out : receiver.NextRound({}, now)) {
        if (random.Below(4) == 0) continue;
        now += milliseconds(random.Below(400));
        sender.OnMessage(out.message, now + clock_offset);
      }
      now += milliseconds(random.Below(300));
      const EntryGossip::LocalState state = {
          .deployment = DeploymentVersion(9),
          .confirmed_as_of = confirmed + clock_offset};
      for (const auto& out : sender.NextRound(state, now + clock_offset)) {
        const TimePoint truth = confirmed;
        if (random.Below(4) == 0) continue;
        now += milliseconds(random.Below(2'000));  // network delay
        const auto update = receiver.OnMessage(out.message, now);
        if (!update.confirmed_as_of) continue;
        ++heard;
        EXPECT_LE(*update.confirmed_as_of, truth) << "seed " << seed;
      }
    }
    EXPECT_GT(heard, 0) << "seed " << seed;
  }
}

// Guards against an entry that takes the whole of what all entries share,
// because its list of them is empty or old.
TEST(EntryGossip, SendersAreCountedOnlyWhileThisEntryIsListed) {
  EntryGossip gossip({.self = Entry("a")});
  TimePoint now = TimePoint() + seconds(100);
  EXPECT_FALSE(gossip.SenderCount(now));
  gossip.SetListed({});
  gossip.ConfirmList(now);
  EXPECT_FALSE(gossip.SenderCount(now));
  gossip.SetListed({Entry("a"), Entry("b"), Entry("c")});
  EXPECT_FALSE(gossip.SenderCount(now));
  gossip.ConfirmList(now);
  EXPECT_EQ(gossip.SenderCount(now), 3);
  // All leases lapse: those known before still count, for a while.
  now += seconds(10);
  gossip.SetListed({});
  gossip.ConfirmList(now);
  EXPECT_EQ(gossip.SenderCount(now), 3);
  now += seconds(21);
  EXPECT_FALSE(gossip.SenderCount(now));
}

TEST(EntryGossip, AFirstMessageConfirmsNothing) {
  EntryGossip gossip({.self = Entry("a")});
  const TimePoint now = TimePoint() + seconds(5);
  const auto update = gossip.OnMessage({.sender = Entry("b")}, now);
  EXPECT_FALSE(update.confirmed_as_of);
}

TEST(EntryGossip, SendsBoundedRoundsToAllPeersInRotation) {
  EntryGossip gossip({.self = Entry("a"), .fan_out = 8});
  std::vector<Member> listed;
  listed.reserve(30);
  for (int i = 0; i < 30; ++i) listed.push_back(Entry("p" + std::to_string(i)));
  gossip.SetListed(listed);
  std::set<Endpoint> recipients;
  for (int round = 0; round < 4; ++round) {
    const auto messages = gossip.NextRound({}, TimePoint() + seconds(1));
    EXPECT_EQ(messages.size(), 8U);
    for (const auto& message : messages) recipients.insert(message.to);
  }
  EXPECT_EQ(recipients.size(), 30U);
}

TEST(EntryGossip, SilentAndLeavingPeersAreNotAlive) {
  EntryGossip gossip({.self = Entry("a")});
  TimePoint now = TimePoint() + seconds(10);
  gossip.SetListed({Entry("b"), Entry("c")});
  EXPECT_TRUE(gossip.AlivePeers(now).empty());
  gossip.OnMessage({.sender = Entry("b")}, now);
  gossip.OnMessage({.sender = Entry("c"), .is_leaving = true}, now);
  ASSERT_EQ(gossip.AlivePeers(now).size(), 1U);
  EXPECT_EQ(gossip.AlivePeers(now)[0].id, InstanceId("b"));
  EXPECT_EQ(gossip.PossibleSenders().size(), 3U);
  now += seconds(2);
  EXPECT_TRUE(gossip.AlivePeers(now).empty());
  // Listed peers may still be sending.
  EXPECT_EQ(gossip.PossibleSenders().size(), 3U);
}

// A partitioned zone loses its leases but keeps sending to its backend servers,
// so bounds over all entries have to include it.
TEST(EntryGossip, SilentEntriesAreCountedForAWhile) {
  EntryGossip gossip({.self = Entry("a")});
  TimePoint now = TimePoint() + seconds(10);
  gossip.SetListed({Entry("b"), Entry("c"), Entry("d")});
  gossip.OnMessage({.sender = Entry("c"), .is_leaving = true}, now);
  gossip.NextRound({}, now);
  gossip.SetListed({Entry("d")});
  now += seconds(10);
  EXPECT_EQ(gossip.NextRound({}, now).size(), 1U) << "only d gets a message";
  EXPECT_EQ(gossip.PossibleSenders().size(), 3U)
      << "a, d, and b, which didn't announce its shutdown";
  now += seconds(60);
  gossip.NextRound({}, now);
  EXPECT_EQ(gossip.PossibleSenders().size(), 2U);
}

// Many entries in several zones; 5% of their datagrams are lost.
class SimulatedFleet {
 public:
  SimulatedFleet(int zones, int entries, std::uint64_t seed,
                 EntryGossip::Options options = {})
      : random_(seed) {
    std::vector<Member> all;
    for (int i = 0; i < entries; ++i) {
      Member member = Entry("e" + std::to_string(i));
      member.zone = ZoneName("z" + std::to_string(i % zones));
      all.push_back(member);
    }
    for (const Member& member : all) {
      options.self = member;
      nodes_.push_back({.member = member, .gossip = EntryGossip(options)});
      nodes_.back().gossip.SetListed(all);
    }
  }

  // Each entry has one request in progress at the backend server of its own
  // name.
  void Run(Duration span) {
    const TimePoint end = now_ + span;
    for (; now_ < end; now_ += milliseconds(150)) {
      for (auto& node : nodes_) {
        if (!node.is_up) continue;
        const auto round = node.gossip.NextRound(
            {.shares = {{.backend = node.member.id, .requests = 1}}}, now_);
        max_messages_ = std::max(max_messages_, round.size());
        for (const auto& out : round) Deliver(out);
      }
    }
  }

  void Kill(std::size_t index) { nodes_[index].is_up = false; }
  bool IsUp(std::size_t index) const { return nodes_[index].is_up; }
  std::size_t size() const { return nodes_.size(); }
  std::size_t max_messages() const { return max_messages_; }
  std::set<InstanceId> AliveAt(std::size_t index) const {
    std::set<InstanceId> ids;
    for (const Member& member : nodes_[index].gossip.AlivePeers(now_)) {
      ids.insert(member.id);
    }
    return ids;
  }
  // Requests of other entries that the entry knows of, from reports not older
  // than `memory`.
  int RequestsKnownAt(std::size_t index, Duration memory) const {
    int sum = 0;
    for (const auto& [from, report] : nodes_[index].received) {
      if (now_ - report.as_of > memory) continue;
      for (const BackendShare& share : report.shares) sum += share.requests;
    }
    return sum;
  }

 private:
  struct Received {
    std::vector<BackendShare> shares;
    TimePoint as_of;
  };
  struct Node {
    Member member;
    EntryGossip gossip;
    bool is_up = true;
    std::map<std::string, Received> received;
  };

  void Deliver(const EntryGossip::OutgoingMessage& out) {
    if (random_.Below(20) == 0) return;
    for (Node& node : nodes_) {
      if (node.member.peer != out.to || !node.is_up) continue;
      const auto update = node.gossip.OnMessage(out.message, now_);
      node.received[out.message.sender.id.value()] = {out.message.shares, now_};
      for (const auto& zone : update.zones) {
        node.received[zone.name.value()] = {zone.shares, zone.as_of};
      }
    }
  }

  Random random_;
  std::vector<Node> nodes_;
  TimePoint now_ = TimePoint() + seconds(100);
  std::size_t max_messages_ = 0;
};

// The messages per entry and round don't grow with the fleet, and each entry
// knows nearly all requests that the others have in progress.
TEST(EntryGossip, LargeFleetsLearnOfOneAnotherThroughDelegates) {
  for (const int entries : {30, 100, 300}) {
    SimulatedFleet fleet(5, entries, 11);
    fleet.Run(seconds(6));
    // Eight peers of the own zone, or a quarter of a large zone, two remote
    // peers, and two delegates of each of four other zones.
    EXPECT_LE(fleet.max_messages(), std::max(8, entries / 5 / 4) + 10U);
    double known = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      EXPECT_GE(std::ssize(fleet.AliveAt(i)), (entries - 1) * 95 / 100)
          << entries << " entries, at " << i;
      known += fleet.RequestsKnownAt(i, milliseconds(1'500));
    }
    EXPECT_GE(known / entries, (entries - 1) * 0.9) << entries << " entries";
  }
}

// The negative case: with 8 messages a round, each of 300 entries is heard only
// about every six seconds.
TEST(EntryGossip, LargeFleetsWithoutZonesLearnLittleOfOneAnother) {
  SimulatedFleet fleet(1, 300, 11, {.rounds_per_zone = 300});
  fleet.Run(seconds(6));
  EXPECT_LT(std::ssize(fleet.AliveAt(0)), 150);
}

// When delegates crash, even all those of a zone, other entries replace them.
TEST(EntryGossip, ZonesRecoverWhenTheirDelegatesCrash) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SimulatedFleet fleet(4, 60, seed);
    fleet.Run(seconds(4));
    for (std::size_t i = 0; i < fleet.size(); i += 3) fleet.Kill(i);
    fleet.Run(seconds(5));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (!fleet.IsUp(i)) continue;
      const auto alive = fleet.AliveAt(i);
      for (std::size_t other = 0; other < fleet.size(); ++other) {
        const InstanceId id("e" + std::to_string(other));
        if (!fleet.IsUp(other)) {
          EXPECT_FALSE(alive.contains(id)) << "seed " << seed;
        }
      }
      EXPECT_GE(std::ssize(alive), 36) << "seed " << seed;
    }
  }
}

}  // namespace
}  // namespace mangohold
