#include "group/demand_keeper.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A store that answers its writes with one fate and lists what was written.
class OneKeyStore : public Store {
 public:
  void List(const std::string& prefix, const std::string& /*after*/,
            Freshness freshness,
            Callback<absl::StatusOr<StorePage>> on_page) override {
    last_freshness = freshness;
    StorePage page;
    if (!writes.empty()) {
      page.items.push_back({.key = prefix, .value = writes.back()});
    }
    on_page(page);
  }
  void Watch(const std::string& /*prefix*/, Revision /*after*/, Millis /*wait*/,
             Callback<absl::StatusOr<StoreEvents>> /*on_events*/) override {}
  void Commit(const StoreTransaction& change,
              Callback<TransactionResult> on_result) override {
    if (fate == TransactionOutcome::kApplied) {
      writes.push_back(change.writes.at(0).value);
    }
    on_result({.outcome = fate});
  }
  void GrantLease(Millis /*ttl*/,
                  Callback<absl::StatusOr<LeaseId>> /*on_lease*/) override {}
  void RenewLease(LeaseId /*lease*/,
                  Callback<LeaseState> /*on_fate*/) override {}
  void RevokeLease(LeaseId /*lease*/) override {}

  std::vector<std::string> writes;
  TransactionOutcome fate = TransactionOutcome::kApplied;
  Freshness last_freshness = Freshness::kMayBeStale;
};

class DemandKeeperTest : public testing::Test {
 protected:
  void Keep(const ExpertDemand& demand, Duration later) {
    now_ += later;
    keeper_.Keep(demand, now_);
  }
  ExpertDemand Kept() {
    ExpertDemand kept;
    keeper_.Read([&kept](const ExpertDemand& demand) { kept = demand; });
    return kept;
  }

  const ExpertDemand before_ = {{250, 0, 0, 250}};
  const ExpertDemand shifted_ = {{0, 250, 250, 0}};
  OneKeyStore store_;
  DemandKeeper keeper_{store_, "demand/g"};
  TimePoint now_ = TimePoint() + seconds(100);
};

// Demand shifts a moment after a write, and all machines lose power soon after.
TEST_F(DemandKeeperTest, AShiftRightAfterAWriteIsKeptWhenItsTimeHasCome) {
  Keep(before_, milliseconds(0));
  Keep(shifted_, milliseconds(250));
  EXPECT_EQ(Kept(), before_) << "not yet";
  for (int round = 0; round < 3; ++round) Keep(shifted_, milliseconds(250));
  EXPECT_EQ(Kept(), shifted_);
  EXPECT_EQ(store_.last_freshness, Freshness::kLinearizable);
}

TEST_F(DemandKeeperTest, SteadyDemandIsWrittenOnce) {
  for (int round = 0; round < 100; ++round) {
    Keep({{250.0 + round % 5, 0, 0, 250}}, milliseconds(250));
  }
  EXPECT_EQ(store_.writes.size(), 1U);
}

TEST_F(DemandKeeperTest, AFailedWriteIsMadeGood) {
  store_.fate = TransactionOutcome::kNotApplied;
  Keep(before_, milliseconds(0));
  store_.fate = TransactionOutcome::kApplied;
  Keep(before_, milliseconds(1'000));
  EXPECT_EQ(Kept(), before_);
}

TEST_F(DemandKeeperTest, TheDifferenceIsThePartThatMoved) {
  EXPECT_DOUBLE_EQ(DifferenceOf(before_, before_), 0);
  EXPECT_DOUBLE_EQ(DifferenceOf(before_, shifted_), 1);
  EXPECT_DOUBLE_EQ(DifferenceOf({{3, 1}}, {{1, 1}}), 0.25);
  EXPECT_DOUBLE_EQ(DifferenceOf({}, {{1}}), 1);
}

}  // namespace
}  // namespace mangohold
