#include "net/memory_budget.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MemoryBudget::Options kOptions = {
    .limit = 1'000, .reserve = 200, .small = 50, .patience = seconds(1)};

// A holder that frees what it has when it is evicted.
class Client {
 public:
  explicit Client(MemoryBudget& budget, TimePoint now = {})
      : holder_(
            budget,
            [this](Eviction reason) {
              evicted_ = reason;
              holder_.Set(0);
            },
            now) {}

  bool Hold(std::size_t bytes, TimePoint now) {
    holder_.OnProgress(now);
    return holder_.Resize(bytes, now);
  }
  std::optional<Eviction> evicted() const { return evicted_; }
  MemoryBudget::Holder& holder() { return holder_; }

 private:
  std::optional<Eviction> evicted_;
  MemoryBudget::Holder holder_;
};

// Guards against a limit that a large holder passes.
TEST(MemoryBudget, RefusesWhatFindsNoRoom) {
  MemoryBudget budget(kOptions);
  Client first(budget);
  Client second(budget);
  EXPECT_TRUE(first.Hold(500, {}));
  EXPECT_FALSE(second.Hold(301, {}));
  EXPECT_EQ(budget.bytes(), 500U);
  EXPECT_TRUE(second.Hold(300, {}));
  EXPECT_EQ(budget.bytes(), 800U);
  EXPECT_FALSE(first.evicted());
}

// Guards against large holders that keep small requests out.
TEST(MemoryBudget, TheReserveIsForSmallHolders) {
  MemoryBudget budget(kOptions);
  Client large(budget);
  ASSERT_TRUE(large.Hold(800, {}));
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 4; ++i) {
    clients.push_back(std::make_unique<Client>(budget));
    EXPECT_TRUE(clients.back()->Hold(50, {}));
  }
  EXPECT_EQ(budget.bytes(), 1'000U);
  EXPECT_FALSE(large.evicted());
}

// Guards against clients that hold much, stop, and stay connected.
TEST(MemoryBudget, EvictsFirstWhatHasMadeNoProgressForLongest) {
  MemoryBudget budget(kOptions);
  Client active(budget);
  Client stopped_later(budget);
  Client stopped_first(budget);
  const TimePoint begin;
  ASSERT_TRUE(stopped_first.Hold(200, begin));
  ASSERT_TRUE(stopped_later.Hold(200, begin + milliseconds(100)));
  const TimePoint now = begin + seconds(2);
  ASSERT_TRUE(active.Hold(400, now));
  Client next(budget);
  EXPECT_TRUE(next.Hold(200, now));
  EXPECT_EQ(stopped_first.evicted(), Eviction::kStalled);
  EXPECT_FALSE(stopped_later.evicted());
  EXPECT_FALSE(active.evicted());
  EXPECT_TRUE(next.Hold(350, now));
  EXPECT_EQ(stopped_later.evicted(), Eviction::kStalled);
  EXPECT_FALSE(active.evicted());
}

// Guards against eviction of idle connections, which frees next to nothing.
TEST(MemoryBudget, EvictsNoSmallHolder) {
  MemoryBudget budget(kOptions);
  Client small(budget);
  Client large(budget);
  Client asking(budget);
  ASSERT_TRUE(small.Hold(50, {}));
  const TimePoint now = TimePoint() + seconds(5);
  ASSERT_TRUE(large.Hold(700, now));
  EXPECT_FALSE(asking.Hold(360, now));
  EXPECT_FALSE(small.evicted());
  EXPECT_FALSE(large.evicted());
}

// Guards against some large bodies that keep smaller ones out by steady
// progress.
TEST(MemoryBudget, TheLargestGivesWayIfItHoldsFarMore) {
  MemoryBudget budget(kOptions);
  Client large(budget);
  Client larger(budget);
  Client asking(budget);
  ASSERT_TRUE(large.Hold(350, {}));
  ASSERT_TRUE(larger.Hold(450, {}));
  EXPECT_FALSE(asking.Hold(225, {}));
  EXPECT_TRUE(asking.Hold(200, {}));
  EXPECT_EQ(larger.evicted(), Eviction::kLargest);
  EXPECT_FALSE(large.evicted());
}

// Guards against the eviction of requests that have been sent, and of answers
// that their callers are reading.
TEST(MemoryBudget, EvictsNothingThatIsProtected) {
  MemoryBudget budget(kOptions);
  Client sent(budget);
  Client answering(budget);
  Client asking(budget);
  ASSERT_TRUE(sent.Hold(400, {}));
  ASSERT_TRUE(answering.Hold(400, {}));
  sent.holder().Protect(Protection::kFull);
  answering.holder().Protect(Protection::kWhileActive);
  EXPECT_FALSE(asking.Hold(100, TimePoint() + milliseconds(900)));
  EXPECT_TRUE(asking.Hold(100, TimePoint() + seconds(2)));
  EXPECT_FALSE(sent.evicted());
  EXPECT_EQ(answering.evicted(), Eviction::kStalled);
}

// Guards against an endless search for room where an eviction frees nothing.
TEST(MemoryBudget, AHolderIsEvictedOnce) {
  MemoryBudget budget(kOptions);
  int evictions = 0;
  MemoryBudget::Holder stubborn(budget, [&](Eviction) { ++evictions; }, {});
  stubborn.Set(800);
  Client asking(budget);
  EXPECT_FALSE(asking.Hold(300, TimePoint() + seconds(2)));
  EXPECT_EQ(evictions, 1);
}

// Guards against accounts that don't return to zero, which would in time refuse
// everything.
TEST(MemoryBudget, ReturnsToZero) {
  MemoryBudget budget(kOptions);
  {
    Client client(budget);
    EXPECT_TRUE(client.Hold(700, {}));
    EXPECT_TRUE(client.Hold(20, {}));
    client.holder().Set(2'000);
    EXPECT_EQ(budget.bytes(), 2'000U);
    // What is over the limit already may shrink.
    EXPECT_TRUE(client.Hold(1'500, {}));
  }
  EXPECT_EQ(budget.bytes(), 0U);
  EXPECT_EQ(budget.holders(), 0U);
}

// Guards against limits where an operator has asked for none.
TEST(MemoryBudget, NoLimitByNameLimitsNothing) {
  MemoryBudget budget(MemoryBudget::OptionsFor(0));
  Client client(budget);
  EXPECT_TRUE(client.Hold(std::size_t{1} << 40U, {}));
}

// Guards against a share that leaves no room for the largest legal body on the
// smallest machine of the deployments.
TEST(MemoryBudget, TheLargestLegalBodyFitsOnASmallMachine) {
  MemoryBudget budget(MemoryBudget::OptionsFor(112));
  Client client(budget);
  EXPECT_TRUE(client.Hold(std::size_t{5} << 20U, {}));
}

}  // namespace
}  // namespace mangohold
