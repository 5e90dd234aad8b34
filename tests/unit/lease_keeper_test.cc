#include "store/lease_keeper.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <string>

namespace mangohold {
namespace {

// A fake store that answers when the test says so, in its era at that time.
// Lease numbers restart from 1 in each era.
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
                  Callback<LeaseState> /*on_state*/) override {}
  void RevokeLease(LeaseId /*lease*/) override {}

  // Sends the oldest pending answer. Returns false if there is none.
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
  // The lease of the key; 0: the key is absent.
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
  // The loop doesn't run, so there are no renewals.
  EventLoop loop_;
  LeaseStore store_;
  LeaseKeeper keeper_{loop_, store_, {.key = "members/a", .value = "v"}};
};

// The lease is requested before the era of the store is known.
TEST_F(LeaseKeeperTest, WritesTheKeyAfterTheFirstAnswers) {
  keeper_.Start();
  store_.AnswerAll();
  EXPECT_EQ(store_.LeaseOf("members/a"), LeaseId(1));
}

TEST_F(LeaseKeeperTest, WritesTheKeyAgainInANewEra) {
  keeper_.Start();
  store_.AnswerAll();
  store_.RestoreFromBackup();
  EXPECT_EQ(store_.LeaseOf("members/a"), LeaseId());
  keeper_.SetValue("w");  // the answer to any call reveals the new era
  store_.AnswerAll();
  EXPECT_EQ(store_.LeaseOf("members/a"), store_.last_lease());
}

// The era changes between the grant and the write. The lease number may belong
// to another process by then, so the key must be written under a lease of the
// new era.
TEST_F(LeaseKeeperTest, ALeaseOfAnEarlierEraIsNotUsed) {
  keeper_.Start();
  store_.Answer();  // grants the lease
  store_.RestoreFromBackup();
  store_.GrantLease(Millis(1'000), [](const auto& /*of another process*/) {});
  store_.AnswerAll();
  EXPECT_EQ(store_.LeaseOf("members/a"), LeaseId(2));
}

}  // namespace
}  // namespace mangohold
