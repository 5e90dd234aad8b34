// Switches of expert maps under a machine that stands still and a process that
// is killed, at any two orders of the switch and in all pairs of roles.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "virtual_agents.h"

namespace mangohold {
namespace {

using std::chrono::seconds;

constexpr Millis kFreeze{4'000};
constexpr Millis kRestart{500};
constexpr Millis kDuration{12'000};
constexpr Millis kDurationWithLateOrders{30'000};
// By design, a hold outlives the loss of its leader by two seconds at most. If
// the machine that stands still isn't the leader's, or its engine is silent, so
// that nobody can tell whether its rank is armed, this counts from the end of
// the freeze.
constexpr Millis kLongestHoldAfterLoss{2'000};

enum class Role { kLeader, kHolder, kSuccessor, kOther, kCount };
constexpr int kRoles = static_cast<int>(Role::kCount);
constexpr std::array<const char*, kRoles> kRoleNames = {"leader", "holder",
                                                        "successor", "other"};

// One machine stands still at an order of a switch, counted from 1, and one
// process is killed: at an order too, or some time after the freeze.
struct Scenario {
  Role frozen = Role::kLeader;
  int freeze_order = 1;
  Role killed = Role::kHolder;
  int kill_order = 0;  // 0: by `kill_delay`
  Duration kill_delay{0};
  Duration duration = kDuration;
  VirtualAgents::Options group;
};

struct Verdict {
  bool has_mixed_maps = false;
  Duration longest_hold{0};
  // How long the group stood still after the last disruption.
  Duration hold_after_loss{0};
  bool is_held = false;  // at the end
  bool has_frozen = false;
  bool has_killed = false;
};

class Storm {
 public:
  explicit Storm(const Scenario& scenario)
      : scenario_(scenario), agents_(scenario.group) {
    agents_.SetOnOrder([this] { OnOrder(); });
  }

  Verdict Run() {
    const TimePoint end = agents_.now() + scenario_.duration;
    agents_.RequestSwitch();
    while (agents_.now() < end) {
      if (kill_at_ && agents_.now() >= *kill_at_) {
        kill_at_.reset();
        Kill();
      }
      if (!agents_.Step()) {
        verdict_.has_mixed_maps = true;
        break;
      }
      if (agents_.group().consecutive_held_passes > 0 && lost_at_) {
        verdict_.hold_after_loss =
            std::max(verdict_.hold_after_loss, agents_.now() - *lost_at_);
      }
    }
    verdict_.longest_hold = agents_.longest_hold();
    verdict_.is_held = agents_.holder().has_value();
    return verdict_;
  }

 private:
  void OnOrder() {
    ++orders_;
    if (!holder_) holder_ = agents_.holder();
    if (orders_ >= scenario_.freeze_order && !verdict_.has_frozen) Freeze();
    const bool is_kill_due =
        scenario_.kill_order > 0 && orders_ >= scenario_.kill_order;
    if (is_kill_due && !verdict_.has_killed) Kill();
  }

  void Freeze() {
    const auto rank = RankOf(scenario_.frozen);
    if (!rank) return;
    verdict_.has_frozen = true;
    agents_.Freeze(*rank, kFreeze);
    const bool is_leader_lost =
        rank == agents_.leader() &&
        scenario_.group.frozen_engine == FrozenEngine::kAnswers;
    OnLoss(is_leader_lost ? Duration(0) : kFreeze);
    if (scenario_.kill_order == 0) {
      kill_at_ = agents_.now() + scenario_.kill_delay;
    }
  }

  void Kill() {
    const auto rank = RankOf(scenario_.killed);
    if (!rank) return;
    verdict_.has_killed = true;
    agents_.Kill(*rank, kRestart);
    OnLoss(Duration(0));
  }

  void OnLoss(Duration lasts) {
    const TimePoint ends_at = agents_.now() + lasts;
    lost_at_ = std::max(lost_at_.value_or(ends_at), ends_at);
    verdict_.hold_after_loss = Duration(0);
  }

  // Absent while no agent has the role.
  std::optional<int> RankOf(Role role) const {
    const int first = scenario_.group.first_leader;
    const int newest = agents_.leader();
    switch (role) {
      case Role::kLeader:
        return first;
      case Role::kHolder:
        return holder_;
      case Role::kSuccessor:
        return newest == first ? std::nullopt : std::optional(newest);
      case Role::kOther:
        for (int rank = scenario_.group.ranks - 1; rank >= 0; --rank) {
          if (rank != first && rank != newest && rank != holder_) return rank;
        }
        return std::nullopt;
      case Role::kCount:
        break;
    }
    return std::nullopt;
  }

  Scenario scenario_;
  VirtualAgents agents_;
  Verdict verdict_;
  std::optional<TimePoint> kill_at_;
  std::optional<TimePoint> lost_at_;
  std::optional<int> holder_;
  int orders_ = 0;
};

// The hold, the arming of each rank and the release.
constexpr int kOrders = 7;
// One more, which no switch reaches without disruption.
constexpr int kMostOrders = kOrders + 1;
constexpr Millis kDelayStep{100};
constexpr int kDelays = 13;

// All freezes and kills, without late orders.
std::vector<Scenario> AllScenarios() {
  std::vector<Scenario> scenarios;
  const auto add_kills = [&scenarios](Scenario scenario) {
    for (int order = 1; order <= kMostOrders; ++order) {
      scenario.kill_order = order;
      scenarios.push_back(scenario);
    }
    scenario.kill_order = 0;
    for (int i = 0; i < kDelays; ++i) {
      scenario.kill_delay = i * kDelayStep;
      scenarios.push_back(scenario);
    }
  };
  for (int pair = 0; pair < kRoles * kRoles; ++pair) {
    for (int order = 1; order <= kMostOrders; ++order) {
      for (int engine = 0; engine < 3; ++engine) {
        add_kills(
            {.frozen = static_cast<Role>(pair / kRoles),
             .freeze_order = order,
             .killed = static_cast<Role>(pair % kRoles),
             .group = {.frozen_engine = static_cast<FrozenEngine>(engine)}});
      }
    }
  }
  return scenarios;
}

// The same with orders that get no answer and are executed seconds later.
Scenario DrawWithLateOrders(std::uint64_t seed) {
  Random random(seed);
  const auto below = [&random](int limit) {
    return static_cast<int>(random.Below(static_cast<std::uint64_t>(limit)));
  };
  return {.frozen = static_cast<Role>(below(kRoles)),
          .freeze_order = 1 + below(2 * kMostOrders),
          .killed = static_cast<Role>(below(kRoles)),
          .kill_order = below(2 * kMostOrders),
          .kill_delay = below(kDelays) * kDelayStep,
          .duration = kDurationWithLateOrders,
          .group = {.first_leader = below(2) == 0 ? 0 : 2,
                    .frozen_engine = static_cast<FrozenEngine>(below(3)),
                    .late_percent = 10 + below(40),
                    .checks_sequence = below(2) == 0,
                    .seed = seed}};
}

std::string PairOf(const Scenario& scenario) {
  return std::string(kRoleNames[static_cast<int>(scenario.frozen)]) +
         " frozen, " + kRoleNames[static_cast<int>(scenario.killed)] +
         " killed";
}

// What a sweep of scenarios showed, by pair of roles.
class Summary {
 public:
  // `number` names the scenario: its seed, or its place among all.
  void Add(std::uint64_t number, const Scenario& scenario,
           const Verdict& verdict) {
    Row& row = rows_[PairOf(scenario)];
    ++row.runs;
    row.both += verdict.has_frozen && verdict.has_killed ? 1 : 0;
    row.mixed += verdict.has_mixed_maps ? 1 : 0;
    mixed_ += verdict.has_mixed_maps ? 1 : 0;
    if (verdict.has_mixed_maps && first_mixed_ == 0) first_mixed_ = number;
    // Orders that are executed late again and again may prolong a hold for
    // ever.
    const bool is_stuck = verdict.is_held && scenario.group.checks_sequence;
    held_ += is_stuck ? 1 : 0;
    if (is_stuck && first_held_ == 0) first_held_ = number;
    const int engine = static_cast<int>(scenario.group.frozen_engine);
    row.sum += verdict.longest_hold;
    row.longest[engine] = std::max(row.longest[engine], verdict.longest_hold);
    if (verdict.hold_after_loss > after_loss_) {
      after_loss_ = verdict.hold_after_loss;
      after_loss_number_ = number;
    }
  }

  int mixed() const { return mixed_; }
  int held() const { return held_; }
  std::uint64_t first_mixed() const { return first_mixed_; }
  std::uint64_t first_held() const { return first_held_; }
  int pairs_mixed() const {
    return static_cast<int>(std::ranges::count_if(
        rows_, [](const auto& row) { return row.second.mixed > 0; }));
  }
  Duration longest_after_loss() const { return after_loss_; }
  std::uint64_t longest_after_loss_number() const { return after_loss_number_; }

  void Print() const {
    for (const auto& [pair, row] : rows_) {
      std::cout << pair << ": " << row.runs << " runs, " << row.both
                << " with both, " << row.mixed
                << " with two maps, longest hold";
      for (const Duration hold : row.longest) {
        std::cout << ' ' << ToMillis(hold);
      }
      std::cout << " ms, mean " << ToMillis(row.sum / row.runs) << " ms\n";
    }
    std::cout << mixed_ << " runs with two maps in " << pairs_mixed() << " of "
              << rows_.size() << " pairs; longest hold after the last loss "
              << ToMillis(after_loss_) << " ms, number " << after_loss_number_
              << '\n';
  }

 private:
  struct Row {
    int runs = 0;
    int both = 0;
    int mixed = 0;
    std::array<Duration, 3> longest{};  // by `FrozenEngine`
    Duration sum{0};
  };
  std::map<std::string, Row> rows_;
  int mixed_ = 0;
  int held_ = 0;
  std::uint64_t first_mixed_ = 0;
  std::uint64_t first_held_ = 0;
  Duration after_loss_{0};
  std::uint64_t after_loss_number_ = 0;
};

// Guards against a pass with two maps: a process that starts again has
// forgotten what it granted, and a successor undoes the switch under an armed
// rank (MAP).
TEST(MapSwitchStorm, AGrantForgottenByARestartIsNotReadAsNoGrant) {
  Summary summary;
  std::uint64_t number = 0;
  for (const Scenario& scenario : AllScenarios()) {
    summary.Add(++number, scenario, Storm(scenario).Run());
  }
  summary.Print();
  EXPECT_EQ(summary.mixed(), 0) << "first scenario " << summary.first_mixed();
  EXPECT_EQ(summary.held(), 0) << "first scenario " << summary.first_held();
  EXPECT_LE(summary.longest_after_loss(), kLongestHoldAfterLoss)
      << "scenario " << summary.longest_after_loss_number();
}

// Guards against a pass with two maps: an order of a leader that was undoing
// its predecessor's switch is executed after the next leader has completed it.
TEST(MapSwitchStorm, LateOrdersNeverLetAPassBeginWithTwoMaps) {
  constexpr std::uint64_t kSeeds = 2'000;
  Summary summary;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Scenario scenario = DrawWithLateOrders(seed);
    summary.Add(seed, scenario, Storm(scenario).Run());
  }
  summary.Print();
  EXPECT_EQ(summary.mixed(), 0) << "first seed " << summary.first_mixed();
  EXPECT_EQ(summary.held(), 0) << "first seed " << summary.first_held();
}

// Guards against a group that stands still until a machine goes on: the agent
// of the holding rank, which has to grant the arming of the leader's own rank,
// is silent, while its engine answers.
TEST(MapSwitchStorm, AHoldEndsThoughTheAgentBesideItStandsStill) {
  for (int order = 1; order < kOrders; ++order) {
    const Verdict verdict = Storm({.frozen = Role::kHolder,
                                   .freeze_order = order,
                                   .killed = Role::kSuccessor})
                                .Run();
    EXPECT_TRUE(verdict.has_frozen);
    EXPECT_FALSE(verdict.has_mixed_maps);
    EXPECT_LT(verdict.longest_hold, kFreeze) << "order " << order;
  }
}

// Guards against a pass with two maps: the store comes back in its next era in
// the middle of a switch, so that the leader claims a new term, and takes the
// leader before itself for the one whose rank it armed last. That rank's
// machine stands still.
TEST(MapSwitchStorm, ALeaderThatClaimsAgainExcusesNoOther) {
  constexpr int kFirst = 2;
  for (int order = 1; order <= kOrders; ++order) {
    VirtualAgents agents({.first_leader = kFirst});
    const auto run = [&agents](Duration duration) {
      const TimePoint end = agents.now() + duration;
      while (agents.now() < end) {
        ASSERT_TRUE(agents.Step());
      }
    };
    agents.Kill(kFirst, kRestart);
    run(seconds(5));
    ASSERT_NE(agents.leader(), kFirst);
    int orders = 0;
    agents.SetOnOrder([&] {
      if (++orders != order) return;
      agents.Freeze(kFirst, kFreeze);
      agents.ChangeEra();
    });
    agents.RequestSwitch();
    run(kDuration);
    EXPECT_GE(orders, order);
    EXPECT_FALSE(agents.holder());
  }
}

}  // namespace
}  // namespace mangohold
