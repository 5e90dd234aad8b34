#include "group/agent_directory.h"

#include <set>
#include <utility>

#include "core/log.h"
#include "core/status.h"
#include "store/list_all.h"

namespace mangohold {
namespace {

// Minimum time between two reads of the list.
constexpr Millis kSearchInterval{500};
// The list is read again at this age even if no agent is missing.
constexpr std::chrono::seconds kMaxListAge(20);
// An agent that is no longer listed is dropped after this time.
constexpr std::chrono::seconds kUnlistedRetention(60);

}  // namespace

AgentDirectory::AgentDirectory(Store& store, std::string prefix,
                               InstanceId self)
    : store_(store), prefix_(std::move(prefix)), self_(std::move(self)) {}

void AgentDirectory::Refresh(TimePoint now, bool is_missing) {
  if (is_reading_) return;
  const bool is_old = !last_read_at_ || now - *last_read_at_ > kMaxListAge;
  const bool is_due =
      last_attempt_at_ == TimePoint() ||
      ((is_missing || is_old) && now - last_attempt_at_ >= kSearchInterval);
  if (is_due) ReadList(now);
}

void AgentDirectory::ReadList(TimePoint now) {
  is_reading_ = true;
  last_attempt_at_ = now;
  ListAll(store_, prefix_, Freshness::kMayBeStale,
          [this, now](const auto& items) {
            is_reading_ = false;
            if (items.ok()) return OnList(*items, now);
            Log(LogLevel::kWarning, "agent_list_read_failed",
                {{"error", MessageOf(items.status())}});
          });
}

// An agent that left the list is kept for kUnlistedRetention: while the store
// fails, the leases of healthy agents expire too.
void AgentDirectory::OnList(const std::vector<StoreItem>& items,
                            TimePoint now) {
  last_read_at_ = now;
  for (const StoreItem& item : items) {
    const auto member = DecodeMember(item.value);
    if (!member || member->role != MemberRole::kAgent) continue;
    members_[member->id] = {.member = *member, .last_seen = now};
  }
  std::erase_if(members_, [now](const auto& item) {
    return now - item.second.last_seen > kUnlistedRetention;
  });
}

void AgentDirectory::OnStatus(int rank, const Member& agent, TimePoint now) {
  members_[agent.id] = {.member = agent, .last_seen = now};
  agent_by_rank_[rank] = agent.id;
}

const Member* AgentDirectory::Find(const InstanceId& agent) const {
  const auto listed = members_.find(agent);
  return listed == members_.end() ? nullptr : &listed->second.member;
}

const Member* AgentDirectory::FindByRank(int rank) const {
  const auto agent = agent_by_rank_.find(rank);
  return agent == agent_by_rank_.end() ? nullptr : Find(agent->second);
}

std::vector<Member> AgentDirectory::AgentsWithoutRank(
    const GroupName& group) const {
  std::set<InstanceId> placed = {self_};
  for (const auto& [rank, agent] : agent_by_rank_) placed.insert(agent);
  std::vector<Member> without_rank;
  for (const auto& [id, listed] : members_) {
    if (listed.member.group != group || placed.contains(id)) continue;
    without_rank.push_back(listed.member);
  }
  return without_rank;
}

}  // namespace mangohold
