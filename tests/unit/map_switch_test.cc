// The switch of expert maps against a group of engines in virtual time, whose
// orders are lost, carried out late, or unanswered, and whose leaders die,
// stand still and come back.
#include "group/map_switch.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

#include "core/random.h"
#include "group/unanswered_arm_orders.h"

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRanks = 4;
constexpr milliseconds kStep(10);
constexpr milliseconds kPassInterval(50);

// The engines of one group, after the platform's rules for maps.
class Group {
 public:
  struct Engine {
    MapVersion map;
    MapVersion highest;
    std::optional<MapVersion> prepared;
    std::optional<MapVersion> copying;
    TimePoint copied_at;
    std::optional<MapVersion> armed;
    PassNumber armed_at;
    std::optional<PassNumber> held;
  };

  RankReport Report(int rank) const {
    const Engine& engine = engines[rank];
    return {.group = GroupName("g"),
            .epoch = epoch,
            .rank = rank,
            .size = kRanks,
            .is_open = true,
            .pass = pass,
            .map = engine.map,
            .prepared = engine.prepared,
            .armed = engine.armed,
            .held = engine.held,
            .running = 1};
  }

  bool Carry(int rank, const RankCommand& command, TimePoint now) {
    Engine& engine = engines[rank];
    if (command.epoch != epoch || !command.order) return false;
    switch (*command.order) {
      case OrderKind::kPrepare:
        if (engine.prepared == command.version ||
            engine.copying == command.version) {
          return true;
        }
        if (command.version <= engine.highest || engine.armed) return false;
        engine.highest = command.version;
        engine.prepared.reset();
        engine.copying = command.version;
        engine.copied_at = now + milliseconds(300);
        return true;
      case OrderKind::kArm:
        if (engine.armed == command.version) return true;
        if (engine.prepared != command.version || pass >= command.pass) {
          return false;
        }
        engine.armed = command.version;
        engine.armed_at = command.pass;
        return true;
      case OrderKind::kDisarm:
        if (engine.map == command.version) return false;
        if (engine.armed == command.version) engine.armed.reset();
        return true;
      case OrderKind::kHold:
        if (engine.held == command.pass) return true;
        if (engine.held || pass >= command.pass) return false;
        engine.held = command.pass;
        return true;
      case OrderKind::kGo:
        if (engine.held == command.pass) engine.held.reset();
        return true;
      case OrderKind::kCount:
        break;
    }
    return false;
  }

  // Begins the next pass unless a rank holds it. Returns false if it would be
  // made with two maps.
  bool BeginPass(TimePoint now) {
    const PassNumber next = pass.Next();
    for (Engine& engine : engines) {
      if (engine.copying && engine.copied_at <= now) {
        engine.prepared = std::exchange(engine.copying, std::nullopt);
      }
    }
    if (std::ranges::any_of(engines, [next](const Engine& engine) {
          return engine.held && *engine.held <= next;
        })) {
      ++held_passes;
      longest_hold = std::max(longest_hold, ++hold);
      return true;
    }
    hold = 0;
    pass = next;
    for (Engine& engine : engines) {
      if (engine.armed && engine.armed_at == pass) {
        engine.map = *engine.armed;
        engine.armed.reset();
        engine.prepared.reset();
      }
    }
    return std::ranges::all_of(engines, [this](const Engine& engine) {
      return engine.map == engines.front().map;
    });
  }

  void FormAnew() {
    epoch = epoch.Next();
    engines.assign(kRanks, Engine());
  }

  GroupEpoch epoch{1};
  PassNumber pass{1};
  std::vector<Engine> engines = std::vector<Engine>(kRanks);
  int held_passes = 0;
  int hold = 0;  // passes held in a row
  int longest_hold = 0;
};

struct Rules {
  // What the world does to orders and leaders.
  int lost_percent = 0;
  int late_percent = 0;
  // In each step of 10 ms.
  int leader_change_per_mille = 0;
  int epoch_change_per_mille = 0;
  // Of the leaders that are succeeded, those whose machine stands still.
  int stopped_percent = 0;
};

// Drives leaders over the group. Each agent keeps the newest term that it has
// heard and refuses older ones.
class World {
 public:
  World(std::uint64_t seed, Rules rules) : random_(seed), rules_(rules) {
    Elect();
  }

  // Returns false if a pass was begun with two maps.
  bool Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += kStep;
      Deliver();
      const bool is_pass_due = step % (kPassInterval / kStep) == 0;
      if (is_pass_due && !group_.BeginPass(now_)) return false;
      if (step % 10 == 0) Tell();
      Lead();
      if (Happens(rules_.leader_change_per_mille)) Elect();
      if (Happens(rules_.epoch_change_per_mille)) group_.FormAnew();
    }
    return true;
  }

  int switches() const { return switches_; }
  int held_passes() const { return group_.held_passes; }
  Duration longest_hold() const { return kPassInterval * group_.longest_hold; }

 private:
  struct Leader {
    int rank = 0;
    LeaderTerm term;
    std::unique_ptr<MapSwitch> map_switch;
  };
  struct Late {
    TimePoint at;
    std::function<void()> act;
  };

  bool Happens(int per_mille) {
    return static_cast<int>(random_.Below(1'000)) < per_mille;
  }

  // A new leader; the one before goes on for as long as it doesn't know.
  void Elect() {
    term_ = term_.Next();
    const std::optional<int> former =
        leaders_.empty() ? std::nullopt : std::optional(leaders_.back().rank);
    int rank = static_cast<int>(random_.Below(kRanks));
    if (former &&
        static_cast<int>(random_.Below(100)) < rules_.stopped_percent) {
      stopped_until_[*former] = now_ + seconds(3);
      if (rank == former) rank = (rank + 1) % kRanks;
    }
    leaders_.push_back({.rank = rank,
                        .term = term_,
                        .map_switch = std::make_unique<MapSwitch>(
                            MapSwitch::Options{.term = term_,
                                               .own_rank = rank,
                                               .former_leader = former,
                                               .experts = kRanks})});
    if (leaders_.size() > 2) leaders_.erase(leaders_.begin());
  }

  void Tell() {
    for (Leader& leader : leaders_) {
      for (int rank = 0; rank < kRanks; ++rank) {
        if (random_.Below(20) == 0 || IsStopped(rank)) continue;
        leader.map_switch->OnStatus(StatusOf(rank), now_);
      }
    }
  }

  RankStatus StatusOf(int rank) const {
    return {.agent = InstanceId(std::to_string(rank)),
            .term = terms_[rank],
            .report = group_.Report(rank),
            .holdings = {{rank}},
            .granted = granted_[rank],
            .ready_for = ready_for_[rank],
            .may_arm_late =
                unanswered_[rank].MayArm(group_.epoch, group_.pass, now_)};
  }

  // The machine of a leader and its rank's engine, which serves on.
  bool IsStopped(int rank) const { return now_ < stopped_until_[rank]; }

  void Lead() {
    for (std::size_t i = 0; i < leaders_.size(); ++i) {
      Leader& leader = leaders_[i];
      if (IsStopped(leader.rank)) continue;
      // A leader stands still now and then, the former one mostly.
      if (random_.Below(10) < (i + 1 < leaders_.size() ? 9 : 1)) continue;
      if (leader.map_switch->CanBegin(now_) && random_.Below(20) == 0) {
        ++switches_;
        leader.map_switch->Begin({SetMap(kRanks)}, now_);
      }
      for (const auto& command : leader.map_switch->Advance(now_)) {
        Give(leader, command);
      }
    }
  }

  void Give(Leader& leader, const RankCommand& command) {
    const int rank = command.rank;
    const bool is_direct = command.is_direct;
    if (IsStopped(rank)) return;
    if (!is_direct) {
      if (leader.term < terms_[rank]) return;
      terms_[rank] = leader.term;
    }
    if (command.is_grant) granted_[rank] = command.version;
    if (command.is_question) ready_for_[rank] = command.version;
    if (command.order) {
      const auto luck = static_cast<int>(random_.Below(100));
      if (luck < rules_.lost_percent) return;
      if (luck < rules_.lost_percent + rules_.late_percent) {
        if (command.order == OrderKind::kArm) {
          unanswered_[rank].OnSent(command.epoch, command.pass);
          unanswered_[rank].OnUnanswered(now_);
        }
        late_.push_back(
            {now_ + seconds(2 + random_.Below(10)),
             [this, rank, command] { group_.Carry(rank, command, now_); }});
        return;
      }
      group_.Carry(rank, command, now_);
    }
    leader.map_switch->OnStatus(StatusOf(rank), now_);
  }

  void Deliver() {
    for (const Late& late : late_) {
      if (late.at <= now_) late.act();
    }
    std::erase_if(late_, [this](const Late& late) { return late.at <= now_; });
  }

  Random random_;
  Rules rules_;
  Group group_;
  TimePoint now_ = TimePoint() + seconds(100);
  LeaderTerm term_;
  std::vector<LeaderTerm> terms_ = std::vector<LeaderTerm>(kRanks);
  std::vector<UnansweredArmOrders> unanswered_ =
      std::vector<UnansweredArmOrders>(kRanks);
  std::vector<TimePoint> stopped_until_ = std::vector<TimePoint>(kRanks);
  std::vector<MapVersion> granted_ = std::vector<MapVersion>(kRanks);
  std::vector<MapVersion> ready_for_ = std::vector<MapVersion>(kRanks);
  std::vector<Leader> leaders_;
  std::vector<Late> late_;
  int switches_ = 0;
};

constexpr int kSteps = 6'000;  // a minute

TEST(MapSwitch, SwitchesWithoutAPauseWhenAllGoesWell) {
  World world(1, {});
  ASSERT_TRUE(world.Run(kSteps));
  EXPECT_GT(world.switches(), 30);
  EXPECT_LE(world.held_passes(), world.switches() / 4);
}

// Seed 853 once found two holds at a time, the later one by a leader that did
// not know of its successor.
TEST(MapSwitch, NeverBeginsAPassWithTwoMaps) {
  for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
    World world(seed, {.lost_percent = 10,
                       .late_percent = 20,
                       .leader_change_per_mille = 3,
                       .epoch_change_per_mille = 1});
    ASSERT_TRUE(world.Run(kSteps)) << "seed " << seed;
    EXPECT_GT(world.switches(), 0) << "seed " << seed;
  }
}

// A successor undoes what a leader began whose machine stands still, while
// orders to arm are still on their way. Seed 26 once found a rank that had been
// armed by the leader before the one that stood still.
TEST(MapSwitch, UndoingNeverBeginsAPassWithTwoMaps) {
  for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
    World world(seed, {.late_percent = 40,
                       .leader_change_per_mille = 5,
                       .stopped_percent = 80});
    ASSERT_TRUE(world.Run(kSteps)) << "seed " << seed;
    EXPECT_GT(world.switches(), 0) << "seed " << seed;
  }
}

TEST(MapSwitch, LateOrdersAloneDoNoHarm) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    World world(seed, {.late_percent = 50});
    ASSERT_TRUE(world.Run(kSteps)) << "seed " << seed;
    EXPECT_GT(world.switches(), 3) << "seed " << seed;
  }
}

// With half of the orders unanswered, arming takes seconds; the hold then lies
// as far ahead, so that the group is held for a small part of the time only.
TEST(MapSwitch, LongArmingPutsTheNextHoldFurtherAhead) {
  int held = 0;
  constexpr int kSeeds = 20;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    World world(seed, {.late_percent = 50});
    ASSERT_TRUE(world.Run(kSteps));
    held += world.held_passes();
  }
  const auto passes =
      static_cast<int>(kSteps / (kPassInterval / kStep)) * kSeeds;
  EXPECT_LE(held, passes / 10);
}

// The bound is the design's: a hold never outlives its owner by two seconds.
TEST(MapSwitch, AHoldDoesNotOutliveItsLeaderForLong) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    World world(seed, {.leader_change_per_mille = 5});
    ASSERT_TRUE(world.Run(kSteps));
    EXPECT_LE(world.longest_hold(), seconds(2)) << "seed " << seed;
  }
}

// A leader that stands still right after its hold, beside an engine that can't
// be reached, as was seen on the platform. An order to arm `late_rank` got no
// answer and may still be carried out. Returns the state after a second of its
// successor.
Group HoldOfAStoppedLeader(std::optional<int> late_rank) {
  Group group;
  TimePoint now = TimePoint() + seconds(50);
  constexpr LeaderTerm kFirst(1);
  constexpr LeaderTerm kSecond(2);
  MapSwitch leader({.term = kFirst, .own_rank = 0});
  MapVersion ready_for;
  const auto tell = [&](MapSwitch& to, LeaderTerm term, int from) {
    for (int rank = from; rank < kRanks; ++rank) {
      to.OnStatus({.term = term,
                   .report = group.Report(rank),
                   .holdings = {{rank}},
                   .ready_for = ready_for,
                   .may_arm_late = rank == late_rank},
                  now);
    }
  };
  // The former leader's machine stops with all other ranks armed.
  const auto is_carried = [&](LeaderTerm term, const RankCommand& command) {
    if (term != kFirst || command.order != OrderKind::kArm) return true;
    return command.rank != 0 && command.rank != late_rank;
  };
  const auto lead = [&](MapSwitch& by, LeaderTerm term, int from) {
    for (const RankCommand& command : by.Advance(now)) {
      if (command.is_question) ready_for = command.version;
      if (command.order && command.rank >= from && is_carried(term, command)) {
        group.Carry(command.rank, command, now);
      }
    }
    tell(by, term, from);
  };
  tell(leader, kFirst, 0);
  lead(leader, kFirst, 0);
  EXPECT_TRUE(leader.CanBegin(now));
  leader.Begin({SetMap(kRanks)}, now);
  while (leader.phase() != MapSwitch::Phase::kArming) {
    now += milliseconds(50);
    lead(leader, kFirst, 0);
    EXPECT_TRUE(group.BeginPass(now));
  }
  EXPECT_FALSE(group.engines[0].held) << "held beside the leader";
  EXPECT_TRUE(group.engines[2].armed);
  MapSwitch successor({.term = kSecond,
                       .own_rank = 1,
                       .former_leader = 0,
                       .former_term = kFirst,
                       .experts = kRanks});
  for (int step = 0; step < 20; ++step) {
    now += milliseconds(50);
    lead(successor, kSecond, 1);
    EXPECT_TRUE(group.BeginPass(now));
  }
  return group;
}

TEST(MapSwitch, ASuccessorReleasesTheHoldOfALeaderThatCannotBeReached) {
  const Group group = HoldOfAStoppedLeader(std::nullopt);
  EXPECT_FALSE(group.engines[1].held);
  EXPECT_FALSE(group.engines[2].armed);
}

// The rank that may still be armed prepares another version first.
TEST(MapSwitch, ASuccessorReleasesTheHoldDespiteALateOrderToArm) {
  constexpr int kLate = 3;
  const Group group = HoldOfAStoppedLeader(kLate);
  EXPECT_FALSE(group.engines[1].held);
  EXPECT_FALSE(group.engines[2].armed);
  EXPECT_GT(group.engines[kLate].prepared, group.engines[2].prepared);
}

// A rank's machine stands still once all have prepared, with nothing held yet.
// The switch is dropped, and the next one goes through when it is back.
TEST(MapSwitch, AMachineThatStandsStillIsNotWaitedForUnderAHold) {
  Group group;
  TimePoint now = TimePoint() + seconds(50);
  constexpr LeaderTerm kTerm(1);
  constexpr int kStopped = 2;
  MapSwitch leader({.term = kTerm, .own_rank = 0});
  std::vector<MapVersion> ready_for(kRanks);
  bool is_stopped = false;
  bool have_all_told = false;  // that they have prepared
  const auto step = [&] {
    now += milliseconds(50);
    for (const RankCommand& command : leader.Advance(now)) {
      if (is_stopped && command.rank == kStopped) continue;
      if (command.is_question) ready_for[command.rank] = command.version;
      if (command.order) group.Carry(command.rank, command, now);
    }
    have_all_told = std::ranges::all_of(group.engines, [](const auto& engine) {
      return engine.prepared.has_value();
    });
    for (int rank = 0; rank < kRanks; ++rank) {
      if (is_stopped && rank == kStopped) continue;
      leader.OnStatus(
          {.term = kTerm,
           .report = group.Report(rank),
           .holdings = {{rank}},
           .granted = group.engines[rank].prepared.value_or(MapVersion()),
           .ready_for = ready_for[rank]},
          now);
    }
    EXPECT_TRUE(group.BeginPass(now));
  };
  const auto begin = [&] {
    while (!leader.CanBegin(now)) step();
    leader.Begin({SetMap(kRanks)}, now);
  };
  begin();
  while (!have_all_told) step();
  is_stopped = true;
  for (int i = 0; i < 40; ++i) {
    step();
    EXPECT_TRUE(std::ranges::none_of(group.engines, [](const auto& engine) {
      return engine.held || engine.armed;
    }));
  }
  EXPECT_EQ(group.held_passes, 0);
  EXPECT_EQ(leader.phase(), MapSwitch::Phase::kIdle);
  EXPECT_FALSE(leader.CanBegin(now)) << "one is silent";
  is_stopped = false;
  begin();
  for (int i = 0; i < 40; ++i) step();
  EXPECT_EQ(group.engines[kStopped].map, leader.version());
}

// Ranks compare maps to the letter: what one is given whole, since its agent
// doesn't know the map in use, is what the others make of the difference.
TEST(MapSwitch, TheWholeMapIsTheOneThatTheDifferenceLeadsTo) {
  Group group;
  const TimePoint now = TimePoint() + seconds(50);
  constexpr LeaderTerm kTerm(1);
  MapSwitch leader({.term = kTerm, .own_rank = 0});
  const GroupMap present = {{{0}, {1}, {2}, {3}}};
  const auto tell = [&](MapVersion missing) {
    for (int rank = 0; rank < kRanks; ++rank) {
      leader.OnStatus({.term = kTerm,
                       .report = group.Report(rank),
                       .holdings = {{rank}},
                       .missing = rank == 2 ? missing : MapVersion()},
                      now);
    }
  };
  tell(MapVersion());
  leader.Advance(now);
  ASSERT_TRUE(leader.CanBegin(now));
  leader.Begin({{{3, 0}, {1}, {2}, {3, 1}}}, now);
  const auto first = leader.Advance(now);
  ASSERT_EQ(std::ssize(first), kRanks);
  for (const RankCommand& command : first) ASSERT_TRUE(command.delta);
  tell(leader.version());
  const auto again = leader.Advance(now);
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again.front().rank, 2);
  EXPECT_FALSE(again.front().delta);
  EXPECT_EQ(again.front().map, Apply(present, *first.front().delta));
}

// The failing side: without the hold a late or lost arm splits the group.
TEST(MapSwitch, WithoutTheHoldAPassIsBegunWithTwoMaps) {
  bool is_split = false;
  for (std::uint64_t seed = 1; seed <= 50 && !is_split; ++seed) {
    Group group;
    Random random(seed);
    TimePoint now = TimePoint() + seconds(1);
    for (int rank = 0; rank < kRanks; ++rank) {
      group.engines[rank].prepared = MapVersion(5);
    }
    for (int rank = 0; rank < kRanks; ++rank) {
      if (random.Below(3) == 0) continue;
      group.Carry(rank,
                  {.order = OrderKind::kArm,
                   .epoch = group.epoch,
                   .version = MapVersion(5),
                   .pass = PassNumber(2)},
                  now);
    }
    is_split = !group.BeginPass(now);
  }
  EXPECT_TRUE(is_split);
}

}  // namespace
}  // namespace mangohold
