// How a successor undoes a switch while orders of its predecessor are on their
// way.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "group/map_switch.h"
#include "virtual_rank_group.h"

namespace mangohold {
namespace {

using std::chrono::milliseconds;

constexpr int kRanks = 4;
constexpr int kLeader = 0;
constexpr int kSuccessor = 2;

// A group whose leader has armed all ranks but its own, for which the order is
// on its way, and whose successor has just read all ranks.
class InterruptedSwitch {
 public:
  InterruptedSwitch() {
    ReportStatuses(leader_, kFirst);
    Execute(leader_.Advance(now_));
    leader_.Begin({SetMap(kRanks)}, now_);
    for (int step = 0; step < kMaxSteps && !late_order_; ++step) {
      now_ += kStep;
      ReportStatuses(leader_, kFirst);
      Execute(leader_.Advance(now_));
    }
    ReportStatuses(successor_, kSecond);
  }

  bool has_late_order() const { return late_order_.has_value(); }
  void ExecuteLateOrder() {
    if (late_order_) group_.Execute(kLeader, *late_order_, now_);
  }
  // Returns the successor's commands, with the newest statuses.
  std::vector<RankCommand> Advance() {
    now_ += kStep;
    ReportStatuses(successor_, kSecond);
    return successor_.Advance(now_);
  }
  void Execute(const std::vector<RankCommand>& commands) {
    for (const RankCommand& command : commands) {
      if (command.is_readiness_query) ready_for_ = command.version;
      if (command.is_grant) granted_ = command.version;
      if (command.order == OrderKind::kArm && command.rank == kLeader) {
        late_order_ = command;
      } else {
        group_.Execute(command.rank, command, now_);
      }
    }
  }
  bool BeginPass() { return group_.BeginPass(now_); }
  const MapSwitch& successor() const { return successor_; }
  const VirtualRankGroup& group() const { return group_; }

 private:
  static constexpr LeaderTerm kFirst{1};
  static constexpr LeaderTerm kSecond{2};
  static constexpr milliseconds kStep{250};
  static constexpr int kMaxSteps = 100;

  void ReportStatuses(MapSwitch& to, LeaderTerm term) {
    group_.FinishCopies(now_);
    for (int rank = 0; rank < kRanks; ++rank) {
      to.OnStatus({.term = term,
                   .report = group_.Report(rank),
                   .holdings = {{rank}},
                   .granted = granted_,
                   .ready_for = ready_for_,
                   .may_arm_late = rank == kLeader && late_order_},
                  now_);
    }
  }

  VirtualRankGroup group_{kRanks};
  TimePoint now_ = TimePoint() + std::chrono::seconds(50);
  MapVersion ready_for_;
  MapVersion granted_;
  std::optional<RankCommand> late_order_;
  MapSwitch leader_{{.term = kFirst, .own_rank = kLeader}};
  MapSwitch successor_{{.term = kSecond,
                        .own_rank = kSuccessor,
                        .former_leader_rank = kLeader,
                        .former_term = kFirst,
                        .experts = kRanks}};
};

bool HasOrder(const std::vector<RankCommand>& commands, OrderKind kind) {
  return std::ranges::any_of(commands, [kind](const RankCommand& command) {
    return command.order == kind;
  });
}

// Guards against a pass with two maps: a late order arms the last rank while a
// successor undoes the switch, and it disarms ranks though all are armed. If
// one of these orders is late and the successor is lost, the next one releases
// the hold (MAP).
TEST(MapSwitchUndo, RanksThatAreAllArmedAreNotDisarmed) {
  InterruptedSwitch interrupted;
  ASSERT_TRUE(interrupted.has_late_order());
  const auto first = interrupted.Advance();
  EXPECT_EQ(interrupted.successor().phase(), MapSwitch::Phase::kUndoing);
  EXPECT_TRUE(HasOrder(first, OrderKind::kPrepare));  // which gets no answer
  EXPECT_FALSE(HasOrder(first, OrderKind::kDisarm));
  interrupted.ExecuteLateOrder();
  for (int step = 0; step < 8; ++step) {
    const auto commands = interrupted.Advance();
    EXPECT_FALSE(HasOrder(commands, OrderKind::kDisarm));
    interrupted.Execute(commands);
  }
  const auto& engines = interrupted.group().engines;
  EXPECT_TRUE(std::ranges::none_of(
      engines, [](const auto& engine) { return engine.held.has_value(); }));
  while (interrupted.group().engines[0].armed) {
    ASSERT_TRUE(interrupted.BeginPass());
  }
}

// Guards against a group that stays held: the undo goes on once the last rank
// can't be armed any more.
TEST(MapSwitchUndo, RanksAreDisarmedOnceOneCantBeArmed) {
  InterruptedSwitch interrupted;
  ASSERT_TRUE(interrupted.has_late_order());
  for (int step = 0; step < 8; ++step) {
    interrupted.Execute(interrupted.Advance());
  }
  interrupted.ExecuteLateOrder();  // which is void
  for (const auto& engine : interrupted.group().engines) {
    EXPECT_FALSE(engine.armed);
    EXPECT_FALSE(engine.held);
  }
}

}  // namespace
}  // namespace mangohold
