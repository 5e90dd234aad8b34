// What successors make of a switch whose leader is lost while an order of it is
// still on its way: orders to one engine are left unanswered and executed
// seconds later, the leader is lost meanwhile, and sometimes another process is
// too.
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <optional>
#include <set>

#include "core/random.h"
#include "virtual_agents.h"

namespace mangohold {
namespace {

constexpr int kRanks = 5;
constexpr Millis kRestart{300};
constexpr Millis kFreeze{4'000};
constexpr Millis kDuration{20'000};
// Enough for one more switch.
constexpr Millis kAftermath{10'000};
// By design, a hold outlives the loss of its leader by two seconds at most,
// counted from the last disruption.
constexpr Millis kLongestHoldAfterFaults{2'000};

enum class SecondLoss { kNone, kHolder, kSuccessorAsItReads, kCount };

struct Scenario {
  int first_leader = 0;
  OrderKind late_order = OrderKind::kGo;  // the first of the late ones
  Millis lateness{2'000};
  Millis unanswered{2'200};  // how long the engine leaves orders unanswered
  Millis loss_delay{50};     // from the first late order to the leader's loss
  bool is_leader_frozen = false;
  FrozenEngine frozen_engine = FrozenEngine::kAnswers;
  SecondLoss second_loss = SecondLoss::kNone;
  Millis second_loss_delay{0};  // after the first one, or the successor's start
  Millis idle{0};               // how long the group is idle after the loss
  std::set<int> ranks_without_pass{};  // whose agents are of an earlier build
};

Scenario Draw(std::uint64_t seed) {
  Random random(seed);
  const auto below = [&random](int limit) {
    return static_cast<int>(random.Below(static_cast<std::uint64_t>(limit)));
  };
  // Half of the late orders are releases.
  constexpr OrderKind kLate[] = {OrderKind::kGo, OrderKind::kGo,
                                 OrderKind::kArm, OrderKind::kHold};
  return {.first_leader = below(kRanks),
          .late_order = kLate[below(4)],
          .lateness = Millis(2'000 + below(2'000)),
          .unanswered = Millis(1'000 + below(2'000)),
          .loss_delay = Millis(50 + below(2'950)),
          .is_leader_frozen = below(3) == 0,
          .frozen_engine = static_cast<FrozenEngine>(below(3)),
          .second_loss = static_cast<SecondLoss>(
              below(static_cast<int>(SecondLoss::kCount))),
          .second_loss_delay = Millis(below(400)),
          .idle = Millis(below(3) == 0 ? 500 + below(2'000) : 0)};
}

struct Verdict {
  bool has_mixed_maps = false;
  bool has_lost_leader = false;
  bool is_held = false;     // at the end
  bool can_switch = false;  // after all that
  Duration longest_hold{0};
  Duration hold_after_faults{0};
};

class Storm {
 public:
  explicit Storm(const Scenario& scenario)
      : scenario_(scenario),
        agents_({.ranks = kRanks,
                 .first_leader = scenario.first_leader,
                 .frozen_engine = scenario.frozen_engine,
                 .ranks_without_pass = scenario.ranks_without_pass}) {
    agents_.SetLateness([this](int rank, const RankCommand& command) {
      return LatenessOf(rank, command);
    });
  }

  Verdict Run() {
    agents_.RequestSwitch();
    if (!RunFor(kDuration)) return verdict_;
    verdict_.is_held = agents_.holder().has_value();
    const MapVersion before = agents_.group().engines.front().map;
    agents_.RequestSwitch();
    if (!RunFor(kAftermath)) return verdict_;
    verdict_.can_switch = std::ranges::all_of(
        agents_.group().engines,
        [&](const auto& engine) { return engine.map > before; });
    verdict_.longest_hold = agents_.longest_hold();
    return verdict_;
  }

 private:
  Duration LatenessOf(int rank, const RankCommand& command) {
    if (!began_ && command.order == scenario_.late_order) {
      began_ = agents_.now();
      late_rank_ = rank;
      OnFault(scenario_.unanswered + scenario_.lateness);
    }
    const bool is_late = began_ && rank == late_rank_ &&
                         agents_.now() < *began_ + scenario_.unanswered;
    return is_late ? scenario_.lateness : Millis(0);
  }

  bool RunFor(Duration duration) {
    const TimePoint end = agents_.now() + duration;
    while (agents_.now() < end) {
      InjectFaults();
      if (!agents_.Step()) {
        verdict_.has_mixed_maps = true;
        return false;
      }
      if (agents_.group().consecutive_held_passes > 0 &&
          agents_.now() > faults_end_) {
        verdict_.hold_after_faults =
            std::max(verdict_.hold_after_faults, agents_.now() - faults_end_);
      }
    }
    return true;
  }

  void InjectFaults() {
    const TimePoint now = agents_.now();
    if (!began_) return;
    if (!lost_at_ && now >= *began_ + scenario_.loss_delay) LoseLeader();
    if (!lost_at_) return;
    agents_.SetIdle(now < *lost_at_ + scenario_.idle);
    const auto due_at = SecondLossAt(*lost_at_);
    if (has_lost_second_ || !due_at || now < *due_at) return;
    has_lost_second_ = true;
    const bool is_holder = scenario_.second_loss == SecondLoss::kHolder;
    const auto rank = is_holder ? agents_.holder() : agents_.leader();
    if (!rank) return;
    agents_.Kill(*rank, kRestart);
    OnFault(kRestart);
  }

  void LoseLeader() {
    lost_at_ = agents_.now();
    verdict_.has_lost_leader = true;
    if (scenario_.is_leader_frozen) {
      agents_.Freeze(scenario_.first_leader, kFreeze);
      const bool is_told = scenario_.frozen_engine == FrozenEngine::kAnswers;
      OnFault(is_told ? Millis(0) : kFreeze);
    } else {
      agents_.Kill(scenario_.first_leader, kRestart);
      OnFault(kRestart);
    }
    OnFault(scenario_.idle);
  }

  // Absent while it isn't known yet.
  std::optional<TimePoint> SecondLossAt(TimePoint lost_at) {
    switch (scenario_.second_loss) {
      case SecondLoss::kHolder:
        return lost_at + scenario_.second_loss_delay;
      case SecondLoss::kSuccessorAsItReads:
        if (!succeeded_at_ && agents_.leader() != scenario_.first_leader) {
          succeeded_at_ = agents_.now();
        }
        if (!succeeded_at_) return std::nullopt;
        return *succeeded_at_ + scenario_.second_loss_delay;
      case SecondLoss::kNone:
      case SecondLoss::kCount:
        break;
    }
    return std::nullopt;
  }

  void OnFault(Duration lasts) {
    faults_end_ = std::max(faults_end_, agents_.now() + lasts);
    verdict_.hold_after_faults = Duration(0);
  }

  Scenario scenario_;
  VirtualAgents agents_;
  Verdict verdict_;
  std::optional<TimePoint> began_;  // the lateness of orders
  int late_rank_ = 0;
  std::optional<TimePoint> lost_at_;
  std::optional<TimePoint> succeeded_at_;
  bool has_lost_second_ = false;
  TimePoint faults_end_;
};

// Guards against a pass with two maps: the leader's order to release the hold
// is on its way when it is killed, and its successor, beside any other rank,
// undoes the switch for which all ranks are armed (MAP).
TEST(MapSwitchSuccessorStorm, ASwitchForWhichAllRanksAreArmedIsNotUndone) {
  for (int leader = 0; leader < kRanks; ++leader) {
    const Verdict verdict = Storm({.first_leader = leader}).Run();
    EXPECT_TRUE(verdict.has_lost_leader) << "leader " << leader;
    EXPECT_FALSE(verdict.has_mixed_maps) << "leader " << leader;
    EXPECT_FALSE(verdict.is_held) << "leader " << leader;
    EXPECT_TRUE(verdict.can_switch) << "leader " << leader;
  }
}

// Guards against the same during a rolling restart: the agents of an earlier
// build don't tell for which pass their rank is armed.
TEST(MapSwitchSuccessorStorm, APassThatIsNotToldIsNoReasonToUndo) {
  for (int leader = 0; leader < kRanks; ++leader) {
    for (unsigned earlier = 0; earlier < 1U << kRanks; ++earlier) {
      Scenario scenario{.first_leader = leader};
      for (int rank = 0; rank < kRanks; ++rank) {
        if ((earlier >> rank & 1U) != 0) {
          scenario.ranks_without_pass.insert(rank);
        }
      }
      const Verdict verdict = Storm(scenario).Run();
      EXPECT_FALSE(verdict.has_mixed_maps)
          << "leader " << leader << ", agents of an earlier build " << earlier;
      EXPECT_TRUE(verdict.can_switch)
          << "leader " << leader << ", agents of an earlier build " << earlier;
    }
  }
}

// Guards against the same with other orders on their way, other losses and an
// idle group, and against a group that stands still or never switches again.
TEST(MapSwitchSuccessorStorm, NoOrderOnItsWayLetsAPassBeginWithTwoMaps) {
  constexpr std::uint64_t kSeeds = 1'000;
  int lost = 0;
  Duration longest{0};
  Duration longest_after{0};
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Verdict verdict = Storm(Draw(seed)).Run();
    EXPECT_FALSE(verdict.has_mixed_maps) << "seed " << seed;
    if (verdict.has_mixed_maps) continue;
    EXPECT_FALSE(verdict.is_held) << "seed " << seed;
    EXPECT_TRUE(verdict.can_switch) << "seed " << seed;
    EXPECT_LE(verdict.hold_after_faults, kLongestHoldAfterFaults)
        << "seed " << seed;
    lost += verdict.has_lost_leader ? 1 : 0;
    longest = std::max(longest, verdict.longest_hold);
    longest_after = std::max(longest_after, verdict.hold_after_faults);
  }
  std::cout << lost << " runs with a lost leader, longest hold "
            << ToMillis(longest) << " ms, after the last fault "
            << ToMillis(longest_after) << " ms\n";
  EXPECT_GT(lost, static_cast<int>(kSeeds / 2));
}

}  // namespace
}  // namespace mangohold
