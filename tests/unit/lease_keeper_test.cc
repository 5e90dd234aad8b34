#include "store/lease_keeper.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <string>

namespace mangohold {
namespace {

// A store of leases that answers when the test says so, each answer in the era
// of that moment. Lease numbers begin anew with each era.
class LeaseStore : public Store {
 public:
  void List(const std::string& /*prefix*/, const std::string& /*after*/,
            Freshness /*freshness*/,
            Callback<absl::StatusOr<StorePage>> /*on_page*/) override {}
  void Watch(const std::string& /*prefix*/, Revision /*after*/, Millis /*wait*/,
             Callback<absl::StatusOr<StoreEvents>> /*on_events*/) override {}
  void Commit(const StoreTransaction& change,
              Callback<TransactionResult> on_result) override {
    answers_.push_back([this, change, on_result] {
      lease_of_key_[change.writes.at(0).key] = change.writes.at(0).lease;
      on_result({.outcome = TransactionOutcome::kApplied});
    });
  }
  void GrantLease(Millis /*ttl*/,
                  Callback<absl::StatusOr<LeaseId>> on_lease) override {
    answers_.push_back([this, on_lease] { on_lease(LeaseId(++last_lease_)); });
  }
  void RenewLease(LeaseId /*lease*/,
                  Callback<LeaseState> /*on_fate*/) override {}
  void RevokeLease(LeaseId /*lease*/) override {}

  // Gives the oldest answer that is due. False if there is none.
  bool Answer() {
    if (answers_.empty()) return false;
    const auto answer = answers_.front();
    answers_.pop_front();
    if (AcceptEra(era_)) answer();
    return true;
  }
  void AnswerAll() {
    while (Answer()) {
    }
  }
  void RestoreFromBackup() {
    era_ = era_.Next();
    last_lease_ = 0;
    lease_of_key_.clear();
  }
  // The lease that the key was written under; 0: it isn't there.
  LeaseId LeaseOf(const std::string& key) const {
    const auto it = lease_of_key_.find(key);
    return it == lease_of_key_.end() ? LeaseId() : it->second;
  }
  LeaseId last_lease() const { return LeaseId(last_lease_); }

 private:
  StoreEra era_{1};
  std::uint64_t last_lease_ = 0;
  std::map<std::string, LeaseId> lease_of_key_;
  std::deque<std::function<void()>> answers_;
};

class LeaseKeeperTest : public testing::Test {
 protected:
  // The loop isn't run, so that no renewal comes.
  EventLoop loop_;
  LeaseStore store_;
  LeaseKeeper keeper_{loop_, store_, {.key = "members/a", .value = "v"}};
};

// The lease is asked for before the store's era is known.
TEST_F(LeaseKeeperTest, ListsItselfWithTheFirstAnswers) {
  keeper_.Start();
  store_.AnswerAll();
  EXPECT_EQ(store_.LeaseOf("members/a"), LeaseId(1));
}

TEST_F(LeaseKeeperTest, ListsItselfAnewInTheNextEra) {
  keeper_.Start();
  store_.AnswerAll();
  store_.RestoreFromBackup();
  EXPECT_EQ(store_.LeaseOf("members/a"), LeaseId());
  keeper_.SetValue("w");  // any call brings word of the era
  store_.AnswerAll();
  EXPECT_EQ(store_.LeaseOf("members/a"), store_.last_lease());
}

// The era begins between the lease and the write: its number may be another
// process's by now, and the key has to end under a lease of the new era.
TEST_F(LeaseKeeperTest, ALeaseOfAnEarlierEraIsNotKept) {
  keeper_.Start();
  store_.Answer();  // the lease
  store_.RestoreFromBackup();
  store_.GrantLease(Millis(1'000), [](const auto& /*another's*/) {});
  store_.AnswerAll();
  EXPECT_EQ(store_.LeaseOf("members/a"), LeaseId(2));
}

}  // namespace
}  // namespace mangohold
