#include "store/store_follower.h"

#include <gtest/gtest.h>

#include "virtual_scheduler.h"
#include "virtual_store.h"

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Treatment;

// Has no other entry to ask; whether others follow through this one is a
// parameter.
class NoSourceRelay : public ChangeRelay {
 public:
  explicit NoSourceRelay(bool is_serving) : is_serving_(is_serving) {}

  bool Watch(Revision /*after*/, OnEvents /*on_events*/) override {
    return false;
  }
  bool HasSources() const override { return !is_serving_; }
  bool IsServing() const override { return is_serving_; }

 private:
  bool is_serving_;
};

class StoreFollowerTest : public ::testing::Test {
 protected:
  void SetUp() override {
    store_.Put("servers/a", "1");
    follower_.SetRelay(relay_);
    follower_.Start();
    RunFor(seconds(5));
  }
  void RunFor(Duration duration) {
    scheduler_.RunUntil(scheduler_.Now() + duration);
  }
  bool ServesEvents() const {
    return follower_.EventsSince(follower_.replica().revision()).has_value();
  }

  testing::VirtualScheduler scheduler_;
  testing::VirtualStore store_{scheduler_};
  testing::VirtualStoreClient calls_{store_};
  NoSourceRelay relay_{true};
  StoreFollower follower_{scheduler_,
                          calls_,
                          {},
                          {.on_changed = [](const auto& /*keys*/) {},
                           .on_confirmed = [](TimePoint /*as_of*/) {}}};
};

TEST_F(StoreFollowerTest, ServesItsChangesToOthers) {
  EXPECT_TRUE(ServesEvents());
  store_.Put("servers/b", "1");
  const Revision before = follower_.replica().revision();
  RunFor(milliseconds(20));
  const auto served = follower_.EventsSince(before).value_or(RelayedEvents());
  EXPECT_EQ(served.events.events.size(), 1U);
}

// Guards against delays that add up: other entries kept polling a watcher that
// the store rejected, until its data was too old.
TEST_F(StoreFollowerTest, ServesNothingOnceTheStoreRejectsIt) {
  calls_.SetTreatment(Treatment::kRefused);
  RunFor(milliseconds(600));
  EXPECT_FALSE(ServesEvents());
  calls_.SetTreatment(Treatment::kServed);
  RunFor(seconds(1));
  EXPECT_TRUE(ServesEvents());
}

TEST_F(StoreFollowerTest, ServesNothingOnceItMayBeBehind) {
  calls_.SetTreatment(Treatment::kSilent);
  RunFor(milliseconds(2'100));
  EXPECT_FALSE(ServesEvents());
}

// In an outage of the store, entries that serve others retry often and the rest
// seldom, so that the calls don't grow with the fleet.
TEST_F(StoreFollowerTest, FallbackCallsAreFewInAnOutage) {
  NoSourceRelay others(false);
  testing::VirtualStoreClient calls(store_);
  StoreFollower fallback(scheduler_, calls, {},
                         {.on_changed = [](const auto& /*keys*/) {},
                          .on_confirmed = [](TimePoint /*as_of*/) {}});
  fallback.SetRelay(others);
  fallback.Start();
  RunFor(seconds(5));
  const int before = calls.call_count();
  const int serving_before = calls_.call_count();
  calls.SetTreatment(Treatment::kRefused);
  calls_.SetTreatment(Treatment::kRefused);
  RunFor(seconds(10));
  EXPECT_LE(calls.call_count() - before, 13);
  EXPECT_GE(calls_.call_count() - serving_before, 24);
}

// A watch may be cut at any time, which isn't evidence of an outage.
TEST_F(StoreFollowerTest, KeepsServingAfterACutWatch) {
  calls_.CutWatches();
  for (int i = 0; i < 20; ++i) {
    RunFor(milliseconds(50));
    EXPECT_TRUE(ServesEvents()) << i;
  }
}

}  // namespace
}  // namespace mangohold
