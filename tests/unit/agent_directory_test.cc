#include "group/agent_directory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const GroupName kGroup("g");

// A store that lists its items in pages and replies at once, with an error
// while `is_down` is set.
class PagedStore : public Store {
 public:
  void List(const std::string& prefix, const std::string& after,
            Freshness /*freshness*/,
            Callback<absl::StatusOr<StorePage>> on_page) override {
    ++calls;
    if (is_down) return on_page(absl::UnavailableError("down"));
    constexpr std::size_t kPageSize = 50;
    StorePage page;
    for (const StoreItem& item : items) {
      if (!item.key.starts_with(prefix) || item.key <= after) continue;
      if (page.items.size() == kPageSize) {
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
                  Callback<LeaseState> /*on_state*/) override {}
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

// The list spans several pages, and entries precede the agents in it.
TEST_F(AgentDirectoryTest, KnowsAgentsOfAllPages) {
  directory_.Refresh(now_, false);
  EXPECT_EQ(directory_.AgentsWithoutRank(kGroup).size(), 71U);
  EXPECT_NE(directory_.Find(InstanceId(AgentName(71))), nullptr);
  EXPECT_EQ(directory_.Find(InstanceId("edge-1")), nullptr);
}

// A leader searches for missing agents among those that haven't reported a
// rank. An agent that has reported one must leave that set.
TEST_F(AgentDirectoryTest, ReportedAgentsAreFoundByRank) {
  directory_.Refresh(now_, false);
  for (int rank = 0; rank < 24; ++rank) {
    EXPECT_EQ(directory_.AgentsWithoutRank(kGroup).size(),
              71U - std::max(0, rank - 1));
    directory_.OnStatus(rank, Agent(rank * 3), now_);
  }
  ASSERT_NE(directory_.FindByRank(23), nullptr);
  EXPECT_EQ(directory_.FindByRank(23)->id, InstanceId(AgentName(69)));
  directory_.OnStatus(23, Agent(70), now_);
  EXPECT_EQ(directory_.FindByRank(23)->id, InstanceId(AgentName(70)))
      << "the engine has moved to another machine";
}

// Agents of other groups must never be candidates.
TEST_F(AgentDirectoryTest, ExcludesAgentsOfOtherGroups) {
  directory_.Refresh(now_, false);
  EXPECT_TRUE(directory_.AgentsWithoutRank(GroupName("other")).empty());
}

// A leader without access to the store still learns of its agents from their
// statuses.
TEST_F(AgentDirectoryTest, ReportedAgentsNeedNotBeListed) {
  store_.is_down = true;
  directory_.Refresh(now_, false);
  directory_.OnStatus(3, Agent(9), now_);
  ASSERT_NE(directory_.FindByRank(3), nullptr);
  EXPECT_EQ(directory_.FindByRank(3)->peer, Agent(9).peer);
  EXPECT_EQ(directory_.FindByRank(3)->backend, Agent(9).backend);
}

TEST_F(AgentDirectoryTest, ReadsTheListOnlyWhenNeeded) {
  directory_.Refresh(now_, false);
  const int first = store_.calls;
  for (int i = 0; i < 100; ++i) {
    now_ += milliseconds(100);
    directory_.Refresh(now_, false);
  }
  EXPECT_EQ(store_.calls, first) << "no agent is missing";
  directory_.Refresh(now_, true);
  EXPECT_EQ(store_.calls, 2 * first);
  directory_.Refresh(now_ + milliseconds(100), true);
  EXPECT_EQ(store_.calls, 2 * first) << "the last read was 100 ms ago";
}

// Leases of healthy agents expire while the store fails, so an unlisted agent
// must be kept for a while.
TEST_F(AgentDirectoryTest, KeepsUnlistedAgentsForAWhile) {
  directory_.Refresh(now_, false);
  store_.items.clear();
  now_ += seconds(30);
  directory_.Refresh(now_, true);
  EXPECT_EQ(directory_.AgentsWithoutRank(kGroup).size(), 71U);
  now_ += seconds(40);
  directory_.Refresh(now_, true);
  EXPECT_TRUE(directory_.AgentsWithoutRank(kGroup).empty());
}

TEST_F(AgentDirectoryTest, RetriesUntilTheStoreReplies) {
  store_.is_down = true;
  directory_.Refresh(now_, false);
  EXPECT_TRUE(directory_.AgentsWithoutRank(kGroup).empty());
  store_.is_down = false;
  now_ += milliseconds(500);
  directory_.Refresh(now_, false);
  EXPECT_EQ(directory_.AgentsWithoutRank(kGroup).size(), 71U);
}

}  // namespace
}  // namespace mangohold
