// What an agent keeps of what its own engine says, while some of the answers
// are wrong.
#include "group/own_rank.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <utility>

namespace mangohold {
namespace {

constexpr ExpertLayout kLayout = {.sets = 1, .experts = 6, .places = 3};

// An engine that answers at once. Answers in `odd_…` come first, one a call.
class FakeEngine : public EngineApi {
 public:
  void Report(const Endpoint& /*engine*/,
              Callback<absl::StatusOr<RankReport>> on_report) override {
    ++reports_read;
    on_report(Next(odd_reports, report));
  }
  void Counts(const Endpoint& /*engine*/,
              Callback<absl::StatusOr<ExpertCounts>> on_counts) override {
    on_counts(Next(odd_counts, counts));
  }
  void Holdings(const Endpoint& /*engine*/,
                Callback<absl::StatusOr<ExpertLists>> on_holdings) override {
    ++lists_read;
    on_holdings(Next(odd_lists, lists));
  }
  void Order(const Endpoint& /*engine*/, const RankOrder& /*order*/,
             Callback<OrderResult> on_result) override {
    on_result(order_result);
  }

  RankReport report = {.group = GroupName("g"),
                       .epoch = GroupEpoch(1),
                       .rank = 1,
                       .size = 2,
                       .is_open = true,
                       .pass = PassNumber(20)};
  ExpertCounts counts = {0, 0, 0, 0, 0, 0};
  ExpertLists lists = {{1, 3, 5}};
  std::deque<RankReport> odd_reports;
  std::deque<ExpertCounts> odd_counts;
  std::deque<ExpertLists> odd_lists;
  OrderResult order_result = OrderResult::kAccepted;
  int reports_read = 0;
  int lists_read = 0;

 private:
  template <typename Value>
  static Value Next(std::deque<Value>& odd, const Value& sound) {
    if (odd.empty()) return sound;
    Value value = std::move(odd.front());
    odd.pop_front();
    return value;
  }
};

class OwnRankTest : public ::testing::Test {
 protected:
  OwnRankTest() { rank_.SetLayout(kLayout); }

  void Poll() {
    rank_.Poll(
        {.on_counts = [](const auto& /*counts*/) {}, .on_holdings = [] {}});
  }

  FakeEngine engine_;
  Counters counters_;
  OwnRank rank_{engine_, Endpoint("10.0.0.1:1"), counters_};
};

// Guards against a list that can't be right being kept for as long as the map
// is in use, and sent to each leader (issue 71, review/14).
TEST_F(OwnRankTest, AListThatCantBeRightIsReadAgain) {
  engine_.odd_lists = {{{1, 17'929'941}}};
  Poll();
  EXPECT_FALSE(rank_.AreHoldingsKnown());
  EXPECT_TRUE(rank_.Status().holdings.empty());
  EXPECT_EQ(counters_.Value(Event::kExpertListsRejected), 1U);
  Poll();
  EXPECT_EQ(rank_.Status().holdings, engine_.lists);
}

// Guards against a list that was read before the engine's figures were known,
// and couldn't be checked, being kept.
TEST_F(OwnRankTest, AListReadEarlyIsCheckedOnceTheFiguresAreKnown) {
  OwnRank rank(engine_, Endpoint("10.0.0.1:1"), counters_);
  const auto poll = [&rank] {
    rank.Poll({.on_counts = [](const auto&) {}, .on_holdings = [] {}});
  };
  engine_.odd_lists = {{{1, 17'929'941}}, {{1, 17'929'941}}};
  poll();
  EXPECT_TRUE(rank.AreHoldingsKnown());
  rank.SetLayout(kLayout);
  EXPECT_FALSE(rank.AreHoldingsKnown());
  poll();
  EXPECT_EQ(rank.Status().holdings, engine_.lists);
}

// Guards against a wrong list of experts that do exist being kept: the ranks'
// lists then don't make a map, and the leader plans no other one.
TEST_F(OwnRankTest, AListIsUsedOnceItIsReadTwice) {
  engine_.odd_lists = {{{1, 3, 4}}};
  Poll();
  EXPECT_EQ(rank_.Status().holdings, engine_.lists);
  EXPECT_EQ(engine_.lists_read, 3);
}

// Guards against an agent that acts on, keeps or passes on a number that its
// engine reports wrongly once.
TEST_F(OwnRankTest, AReportIsUsedOnceItIsReadTwice) {
  Poll();
  const auto odd = [this](auto change) {
    RankReport report = engine_.report;
    change(report);
    engine_.odd_reports = {report};
    Poll();
    return *rank_.report();
  };
  EXPECT_EQ(odd([](RankReport& r) { r.epoch = GroupEpoch(7); }).epoch,
            engine_.report.epoch);
  EXPECT_EQ(odd([](RankReport& r) { r.rank = 0; }).rank, 1);
  EXPECT_EQ(odd([](RankReport& r) { r.size = 9; }).size, 2);
  EXPECT_EQ(odd([](RankReport& r) { r.map = MapVersion(9); }).map,
            engine_.report.map);
  EXPECT_FALSE(odd([](RankReport& r) { r.armed = MapVersion(9); }).armed);
  EXPECT_FALSE(odd([](RankReport& r) { r.held = PassNumber(9); }).held);
  EXPECT_EQ(odd([](RankReport& r) { r.pass = PassNumber(999'999); }).pass,
            engine_.report.pass);
  EXPECT_EQ(odd([](RankReport& r) { r.slowdown = 1e300; }).slowdown, 1);
}

// A report that has changed is read once more in the same poll, so that nothing
// is noticed later.
TEST_F(OwnRankTest, AChangeIsNoticedInTheSamePoll) {
  Poll();
  engine_.report.epoch = GroupEpoch(2);
  engine_.report.pass = PassNumber(0);
  engine_.reports_read = 0;
  Poll();
  EXPECT_EQ(rank_.report()->epoch, GroupEpoch(2));
  EXPECT_EQ(engine_.reports_read, 2);
}

// Guards against an order to arm that is taken for void because of one wrong
// pass, so that it arms its rank after the switch was undone (MAP).
TEST_F(OwnRankTest, OneWrongPassVoidsNoUnansweredOrder) {
  Poll();
  engine_.order_result = OrderResult::kUnknown;
  rank_.ExecuteOrder({.rank = 1,
                      .order = OrderKind::kArm,
                      .epoch = GroupEpoch(1),
                      .version = MapVersion(2),
                      .pass = PassNumber(24)},
                     LeaderTerm(1), [] {});
  EXPECT_TRUE(rank_.Status().may_arm_late);
  RankReport wrong = engine_.report;
  wrong.pass = PassNumber(24);
  engine_.odd_reports = {wrong};
  Poll();
  EXPECT_TRUE(rank_.Status().may_arm_late);
  engine_.report.pass = PassNumber(24);
  Poll();
  Poll();
  EXPECT_FALSE(rank_.Status().may_arm_late);
}

// Guards against an order to arm that is taken for void because its engine
// reports a wrong epoch, however often.
TEST_F(OwnRankTest, AWrongEpochVoidsNoUnansweredOrder) {
  Poll();
  engine_.order_result = OrderResult::kUnknown;
  rank_.ExecuteOrder({.rank = 1,
                      .order = OrderKind::kArm,
                      .epoch = GroupEpoch(1),
                      .version = MapVersion(2),
                      .pass = PassNumber(24)},
                     LeaderTerm(1), [] {});
  engine_.report.epoch = GroupEpoch(7);
  Poll();
  EXPECT_EQ(rank_.report()->epoch, GroupEpoch(7));
  EXPECT_TRUE(rank_.Status().may_arm_late);
}

using Counts = ExpertCounts;

// Guards against one answer that bends the demand by which maps are planned: a
// joined or a lower number was taken for a restart of the engine, so that its
// whole past counted again, and a higher one counted as it was.
TEST_F(OwnRankTest, OneWrongCountChangesNoDemand) {
  const Counts sound = {900, 50, 60, 70, 80, 90};
  const Counts odd_counts[] = {{900, 50, 60, 70, 80},
                               {900, 50, 60, 70, 80, 90, 10},
                               {90, 50, 60, 70, 80, 90},
                               {900, 50, 60, 70, 80, 1'000'000'000}};
  for (const Counts& odd : odd_counts) {
    ConfirmedCounts counts;
    counts.OnRead(sound);
    counts.OnRead(sound);
    std::int64_t sum = 0;
    for (const Counts& read : {odd, sound, sound}) {
      for (const std::int64_t count : counts.OnRead(read)) sum += count;
    }
    EXPECT_EQ(sum, 0);
  }
}

// Guards against a map that follows the load a poll later: counts that can be
// right need no second answer.
TEST_F(OwnRankTest, CountsAreNewAtOnceAndOnce) {
  ConfirmedCounts counts;
  EXPECT_TRUE(counts.OnRead({90, 90}).empty());
  EXPECT_TRUE(counts.OnRead({100, 100}).empty()) << "of any age";
  EXPECT_EQ(counts.OnRead({130, 130}), Counts({30, 30}));
  EXPECT_EQ(counts.OnRead({130, 130}), Counts({0, 0}));
  EXPECT_EQ(counts.OnRead({190, 140}), Counts({0, 0})) << "to be confirmed";
  EXPECT_EQ(counts.OnRead({191, 140}), Counts({60, 10}));
}

// A wrong number that can be right is no more than all others together, and
// what it was too high isn't counted again.
TEST_F(OwnRankTest, AWrongCountAddsNoMoreThanAllOthers) {
  ConfirmedCounts counts;
  for (int i = 0; i < 2; ++i) counts.OnRead({100, 100, 100});
  EXPECT_EQ(counts.OnRead({120, 110, 110}), Counts({20, 10, 10}));
  EXPECT_EQ(counts.OnRead({115, 120, 120}), Counts({0, 0, 0}));
  EXPECT_EQ(counts.OnRead({125, 130, 130}), Counts({5, 20, 20}));
}

// Guards against an agent that starts on a wrong count and takes its engine's
// past for new, or its engine for one that has started again.
TEST_F(OwnRankTest, AWrongFirstCountAddsNothing) {
  const Counts sound = {900, 50, 60};
  for (const Counts& odd : {Counts({90, 50, 60}), Counts({9'000, 50, 60}),
                            Counts({900, 50}), Counts({900, 50, 60, 7})}) {
    ConfirmedCounts counts;
    std::int64_t sum = 0;
    for (const Counts& read : {odd, sound, sound, sound}) {
      for (const std::int64_t count : counts.OnRead(read)) sum += count;
    }
    EXPECT_EQ(sum, 0);
  }
}

TEST_F(OwnRankTest, CountsOfAnEngineThatStartedAgainAreNew) {
  ConfirmedCounts counts;
  for (int i = 0; i < 3; ++i) counts.OnRead({100, 100});
  EXPECT_EQ(counts.OnRead({3, 4}), Counts({0, 0}));
  EXPECT_EQ(counts.OnRead({5, 6}), Counts({3, 4}));
  EXPECT_EQ(counts.OnRead({7, 8}), Counts({4, 4}));
}

}  // namespace
}  // namespace mangohold
