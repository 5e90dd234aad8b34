// Switches of expert maps while the engine of one rank reports a wrong number:
// once, for seconds or for good, in each phase of a switch. Reports pass the
// agents and the codec of their datagrams, as on real machines.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "virtual_agents.h"

namespace mangohold {
namespace {

using std::chrono::seconds;

constexpr int kRanks = 5;
constexpr int kLeader = 2;
constexpr int kHolder = 0;
constexpr int kOther = 4;
constexpr std::uint64_t kLargest = std::numeric_limits<std::uint64_t>::max();
constexpr Duration kOnce{0};
constexpr Duration kForGood = seconds(1'000);
// When the second switch is requested, and how long each run lasts. A
// preparation that fails is abandoned after 12 s.
constexpr seconds kSecondSwitch{14};
constexpr seconds kLength{30};
// By design, a hold outlives the loss of its leader by two seconds at most.
constexpr Millis kLongestHold{2'000};

// What one rank reports instead, from the first report in a phase on.
struct WrongReport {
  std::string name;
  std::function<void(RankReport&)> change;
  int rank = kOther;
  MapSwitch::Phase phase = MapSwitch::Phase::kIdle;
  Duration lasts = kOnce;
  int kill_order = 0;  // the leader is killed at this order; 0: never
};

std::ostream& operator<<(std::ostream& out, const WrongReport& wrong) {
  return out << wrong.name << " of rank " << wrong.rank << " in phase "
             << static_cast<int>(wrong.phase) << " for "
             << ToMillis(wrong.lasts) << " ms, leader killed at order "
             << wrong.kill_order;
}

struct Outcome {
  bool was_told = false;  // the phase was reached
  bool has_mixed_maps = false;
  bool is_held = false;  // at the end
  Duration longest_hold{0};
  bool has_switched_again = false;  // the second switch was completed
};

class Run {
 public:
  explicit Run(const WrongReport& wrong)
      : wrong_(wrong), agents_({.ranks = kRanks, .first_leader = kLeader}) {
    agents_.SetDistortion([this](RankReport& report) { Distort(report); });
    agents_.SetOnOrder([this] {
      if (++orders_ != wrong_.kill_order) return;
      constexpr Millis kRestart{500};
      agents_.Kill(agents_.leader(), kRestart);
    });
  }

  Outcome Play() {
    const TimePoint begin = agents_.now();
    agents_.RequestSwitch();
    if (!StepUntil(begin + kSecondSwitch)) return Mixed();
    const auto before = Maps();
    agents_.RequestSwitch();
    if (!StepUntil(begin + kLength)) return Mixed();
    const auto after = Maps();
    return {.was_told = told_at_.has_value(),
            .is_held = agents_.holder().has_value(),
            .longest_hold = agents_.longest_hold(),
            .has_switched_again =
                std::ranges::min(after) > std::ranges::max(before)};
  }

 private:
  static Outcome Mixed() { return {.was_told = true, .has_mixed_maps = true}; }

  void Distort(RankReport& report) {
    if (report.rank != wrong_.rank) return;
    if (!told_at_ && agents_.phase() == wrong_.phase) {
      told_at_ = agents_.now();
      return wrong_.change(report);
    }
    if (told_at_ && agents_.now() < *told_at_ + wrong_.lasts) {
      wrong_.change(report);
    }
  }

  bool StepUntil(TimePoint end) {
    while (agents_.now() < end) {
      if (!agents_.Step()) return false;
    }
    return true;
  }

  std::vector<MapVersion> Maps() const {
    std::vector<MapVersion> maps;
    for (const auto& engine : agents_.group().engines) {
      maps.push_back(engine.map);
    }
    return maps;
  }

  const WrongReport& wrong_;
  VirtualAgents agents_;
  std::optional<TimePoint> told_at_;
  int orders_ = 0;
};

// Plays a wrong report in all phases, at three ranks, without and with the loss
// of the leader at any order. Returns how often the phase was reached.
int PlayAll(WrongReport wrong, Duration longest_hold) {
  constexpr int kKillOrders = 7;
  int told = 0;
  for (int phase = 0; phase < static_cast<int>(MapSwitch::Phase::kDeposed);
       ++phase) {
    for (const int rank : {kLeader, kHolder, kOther}) {
      for (int order = 0; order <= kKillOrders; ++order) {
        wrong.phase = static_cast<MapSwitch::Phase>(phase);
        wrong.rank = rank;
        wrong.kill_order = order;
        const Outcome outcome = Run(wrong).Play();
        told += outcome.was_told ? 1 : 0;
        EXPECT_FALSE(outcome.has_mixed_maps) << wrong;
        if (outcome.has_mixed_maps) continue;
        EXPECT_FALSE(outcome.is_held) << wrong;
        EXPECT_LE(outcome.longest_hold, longest_hold) << wrong;
        EXPECT_TRUE(outcome.has_switched_again) << wrong;
      }
    }
  }
  return told;
}

// Guards against a group that stands still for good: one rank reports a higher
// epoch, its leader takes it for the group's and refuses all later statuses,
// so that a hold isn't released (issue 71, review/11).
TEST(MapSwitchOddReports, AHigherEpochOfOneRankStopsNoGroup) {
  for (const std::uint64_t epoch : {std::uint64_t{2}, kLargest}) {
    for (const Duration lasts : {kOnce, Duration(seconds(5)), kForGood}) {
      const int told = PlayAll({.name = "epoch " + std::to_string(epoch),
                                .change =
                                    [epoch](RankReport& report) {
                                      report.epoch = GroupEpoch(epoch);
                                    },
                                .lasts = lasts},
                               kLongestHold);
      EXPECT_GT(told, 0);
    }
  }
}

// Guards against a group that is noticed late to have formed anew, although its
// leader doesn't take one rank's word for it.
TEST(MapSwitchOddReports, AGroupThatFormsAnewIsNoticedWithinAPoll) {
  constexpr Millis kPoll{150};
  VirtualAgents agents({.ranks = kRanks, .first_leader = kLeader});
  const auto step_until = [&agents](auto is_done) {
    const TimePoint begin = agents.now();
    while (!is_done() && agents.now() < begin + kLength) {
      EXPECT_TRUE(agents.Step());
    }
    return agents.now() - begin;
  };
  agents.RequestSwitch();
  step_until([&] { return agents.HasSwitched(); });
  agents.FormAnew();
  agents.RequestSwitch();
  const Duration begun =
      step_until([&] { return !agents.is_switch_requested(); });
  const Duration switched = step_until([&] { return agents.HasSwitched(); });
  RecordProperty("begun_ms", std::to_string(ToMillis(begun)));
  RecordProperty("switched_ms", std::to_string(ToMillis(begun + switched)));
  EXPECT_LE(begun, kPoll);
}

}  // namespace
}  // namespace mangohold
