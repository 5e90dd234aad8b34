#include "group/agent_directory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GroupName kGroup("g");

// A store that lists its items in pages and answers at once, or not at all.
class PagedStore : public Store {
 public:
  void List(const std::string& prefix, const std::string& after,
            Freshness /*freshness*/,
            Callback<absl::StatusOr<StorePage>> on_page) override {
    ++calls;
    if (is_down) return on_page(absl::UnavailableError("down"));
    constexpr std::size_t kPage = 50;
    StorePage page;
    for (const StoreItem& item : items) {
      if (!item.key.starts_with(prefix) || item.key <= after) continue;
      if (page.items.size() == kPage) {
        page.has_more = true;
        break;
      }
      page.items.push_back(item);
    }
    on_page(page);
  }
  void Watch(const std::string& /*prefix*/, Revision /*after*/, Millis /*wait*/,
             Callback<absl::StatusOr<StoreEvents>> /*on_events*/) override {}
  void Commit(const StoreTransaction& /*change*/,
              Callback<TransactionResult> /*on_result*/) override {}
  void GrantLease(Millis /*ttl*/,
                  Callback<absl::StatusOr<LeaseId>> /*on_lease*/) override {}
  void RenewLease(LeaseId /*lease*/,
                  Callback<LeaseState> /*on_fate*/) override {}
  void RevokeLease(LeaseId /*lease*/) override {}

  void Add(const std::string& id, MemberRole role) {
    const Member member = {
        .id = InstanceId(id),
        .role = role,
        .peer = Endpoint(id + ":7000"),
        .group = role == MemberRole::kAgent ? kGroup : GroupName()};
    items.push_back({.key = "m/" + id, .value = EncodeMember(member)});
    std::ranges::sort(items, {}, &StoreItem::key);
  }

  std::vector<StoreItem> items;
  bool is_down = false;
  int calls = 0;
};

std::string AgentName(int number) {
  return "side-" + std::to_string(1'000 + number);
}

Member Agent(int number) {
  return {.id = InstanceId(AgentName(number)),
          .role = MemberRole::kAgent,
          .peer = Endpoint(AgentName(number) + ":7000"),
          .backend = Endpoint(AgentName(number) + ":9000"),
          .group = kGroup};
}

class AgentDirectoryTest : public testing::Test {
 protected:
  AgentDirectoryTest() {
    for (int i = 0; i < 32; ++i) {
      store_.Add("edge-" + std::to_string(i), MemberRole::kEntry);
    }
    for (int i = 0; i < 72; ++i) store_.Add(AgentName(i), MemberRole::kAgent);
  }

  PagedStore store_;
  AgentDirectory directory_{store_, "m/", InstanceId(AgentName(0))};
  TimePoint now_ = TimePoint() + seconds(100);
};

// The agents fill more pages than one, and entries come before them.
TEST_F(AgentDirectoryTest, KnowsAgentsOfAllPages) {
  directory_.Refresh(now_, false);
  EXPECT_EQ(directory_.Unplaced(kGroup).size(), 71U);
  EXPECT_NE(directory_.Find(InstanceId(AgentName(71))), nullptr);
  EXPECT_EQ(directory_.Find(InstanceId("edge-1")), nullptr);
}

// With several groups in a fleet a leader looks for its own agents among those
// that it hasn't heard beside a rank.
TEST_F(AgentDirectoryTest, AgentsThatWereHeardArePlaced) {
  directory_.Refresh(now_, false);
  for (int rank = 0; rank < 24; ++rank) {
    EXPECT_EQ(directory_.Unplaced(kGroup).size(), 71U - std::max(0, rank - 1));
    directory_.OnHeard(rank, Agent(rank * 3), now_);
  }
  ASSERT_NE(directory_.AgentOf(23), nullptr);
  EXPECT_EQ(directory_.AgentOf(23)->id, InstanceId(AgentName(69)));
  directory_.OnHeard(23, Agent(70), now_);
  EXPECT_EQ(directory_.AgentOf(23)->id, InstanceId(AgentName(70)))
      << "the engine has another machine";
}

// The agents of other groups are never asked.
TEST_F(AgentDirectoryTest, AgentsOfOtherGroupsAreLeftAlone) {
  directory_.Refresh(now_, false);
  EXPECT_TRUE(directory_.Unplaced(GroupName("other")).empty());
}

// A leader that the store turns away hears of its agents all the same.
TEST_F(AgentDirectoryTest, AgentsThatWereHeardNeedNotBeListed) {
  store_.is_down = true;
  directory_.Refresh(now_, false);
  directory_.OnHeard(3, Agent(9), now_);
  ASSERT_NE(directory_.AgentOf(3), nullptr);
  EXPECT_EQ(directory_.AgentOf(3)->peer, Agent(9).peer);
  EXPECT_EQ(directory_.AgentOf(3)->backend, Agent(9).backend);
}

TEST_F(AgentDirectoryTest, ReadsOnlyWhatIsNeeded) {
  directory_.Refresh(now_, false);
  const int first = store_.calls;
  for (int i = 0; i < 100; ++i) {
    now_ += milliseconds(100);
    directory_.Refresh(now_, false);
  }
  EXPECT_EQ(store_.calls, first) << "all is known";
  directory_.Refresh(now_, true);
  EXPECT_EQ(store_.calls, 2 * first);
  directory_.Refresh(now_ + milliseconds(100), true);
  EXPECT_EQ(store_.calls, 2 * first) << "asked a moment ago";
}

// Leases lapse while the store is in trouble; their holders live on.
TEST_F(AgentDirectoryTest, AgentsThatAreNotListedAreKeptForAWhile) {
  directory_.Refresh(now_, false);
  store_.items.clear();
  now_ += seconds(30);
  directory_.Refresh(now_, true);
  EXPECT_EQ(directory_.Unplaced(kGroup).size(), 71U);
  now_ += seconds(40);
  directory_.Refresh(now_, true);
  EXPECT_TRUE(directory_.Unplaced(kGroup).empty());
}

TEST_F(AgentDirectoryTest, AsksAgainUntilTheStoreAnswers) {
  store_.is_down = true;
  directory_.Refresh(now_, false);
  EXPECT_TRUE(directory_.Unplaced(kGroup).empty());
  store_.is_down = false;
  now_ += milliseconds(500);
  directory_.Refresh(now_, false);
  EXPECT_EQ(directory_.Unplaced(kGroup).size(), 71U);
}

}  // namespace
}  // namespace mangohold
