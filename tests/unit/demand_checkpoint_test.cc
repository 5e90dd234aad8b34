#include "group/demand_checkpoint.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A store with a single key that answers all writes with the same outcome.
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
    if (outcome == TransactionOutcome::kApplied) {
      writes.push_back(change.writes.at(0).value);
    }
    on_result({.outcome = outcome});
  }
  void GrantLease(Millis /*ttl*/,
                  Callback<absl::StatusOr<LeaseId>> /*on_lease*/) override {}
  void RenewLease(LeaseId /*lease*/,
                  Callback<LeaseState> /*on_state*/) override {}
  void RevokeLease(LeaseId /*lease*/) override {}

  std::vector<std::string> writes;
  TransactionOutcome outcome = TransactionOutcome::kApplied;
  Freshness last_freshness = Freshness::kMayBeStale;
};

class DemandCheckpointTest : public testing::Test {
 protected:
  void Save(const ExpertDemand& demand, Duration delay) {
    now_ += delay;
    checkpoint_.Save(demand, now_);
  }
  ExpertDemand Saved() {
    ExpertDemand saved;
    checkpoint_.Load([&saved](const ExpertDemand& demand) { saved = demand; });
    return saved;
  }

  const ExpertDemand before_ = {{250, 0, 0, 250}};
  const ExpertDemand shifted_ = {{0, 250, 250, 0}};
  OneKeyStore store_;
  DemandCheckpoint checkpoint_{store_, "demand/g"};
  TimePoint now_ = TimePoint() + seconds(100);
};

// A shift shortly after a write must not be lost if all machines lose power
// soon afterwards.
TEST_F(DemandCheckpointTest, SavesAShiftOnceTheIntervalHasPassed) {
  Save(before_, milliseconds(0));
  Save(shifted_, milliseconds(250));
  EXPECT_EQ(Saved(), before_) << "written again within the interval";
  for (int round = 0; round < 3; ++round) Save(shifted_, milliseconds(250));
  EXPECT_EQ(Saved(), shifted_);
  EXPECT_EQ(store_.last_freshness, Freshness::kLinearizable);
}

TEST_F(DemandCheckpointTest, WritesSteadyDemandOnce) {
  for (int round = 0; round < 100; ++round) {
    Save({{250.0 + round % 5, 0, 0, 250}}, milliseconds(250));
  }
  EXPECT_EQ(store_.writes.size(), 1U);
}

TEST_F(DemandCheckpointTest, RepeatsAFailedWrite) {
  store_.outcome = TransactionOutcome::kNotApplied;
  Save(before_, milliseconds(0));
  store_.outcome = TransactionOutcome::kApplied;
  Save(before_, milliseconds(1'000));
  EXPECT_EQ(Saved(), before_);
}

TEST_F(DemandCheckpointTest, DistanceIsTheFractionThatMoved) {
  EXPECT_DOUBLE_EQ(DemandDistance(before_, before_), 0);
  EXPECT_DOUBLE_EQ(DemandDistance(before_, shifted_), 1);
  EXPECT_DOUBLE_EQ(DemandDistance({{3, 1}}, {{1, 1}}), 0.25);
  EXPECT_DOUBLE_EQ(DemandDistance({}, {{1}}), 1);
}

}  // namespace
}  // namespace mangohold
