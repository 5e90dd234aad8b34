#include "group/agent_directory.h"

#include <set>
#include <utility>

#include "core/log.h"
#include "core/status.h"
#include "store/list_all.h"

namespace mangohold {
namespace {

// An agent that is missing is looked for at this interval.
constexpr Millis kSearchInterval{500};
// The list is read anew after this in any case.
constexpr std::chrono::seconds kLongestAge(20);
// An agent that isn't listed any more is forgotten after this.
constexpr std::chrono::seconds kUnlistedMemory(60);

}  // namespace

AgentDirectory::AgentDirectory(Store& store, std::string prefix,
                               InstanceId self)
    : store_(store), prefix_(std::move(prefix)), self_(std::move(self)) {}

void AgentDirectory::Refresh(TimePoint now, bool is_missing) {
  if (is_reading_) return;
  const bool is_old = !read_at_ || now - *read_at_ > kLongestAge;
  const bool is_due =
      tried_at_ == TimePoint() ||
      ((is_missing || is_old) && now - tried_at_ >= kSearchInterval);
  if (is_due) Read(now);
}

void AgentDirectory::Read(TimePoint now) {
  is_reading_ = true;
  tried_at_ = now;
  ListAll(store_, prefix_, Freshness::kMayBeStale,
          [this, now](const auto& items) {
            is_reading_ = false;
            if (items.ok()) return OnItems(*items, now);
            Log(LogLevel::kWarning, "agents_unread",
                {{"error", MessageOf(items.status())}});
          });
}

// An agent whose lease lapses while the store is in trouble is kept for a
// while.
void AgentDirectory::OnItems(const std::vector<StoreItem>& items,
                             TimePoint now) {
  read_at_ = now;
  for (const StoreItem& item : items) {
    const auto member = DecodeMember(item.value);
    if (!member || member->role != MemberRole::kAgent) continue;
    members_[member->id] = {.member = *member, .at = now};
  }
  std::erase_if(members_, [now](const auto& item) {
    return now - item.second.at > kUnlistedMemory;
  });
}

void AgentDirectory::OnHeard(int rank, const Member& agent, TimePoint now) {
  members_[agent.id] = {.member = agent, .at = now};
  agents_[rank] = agent.id;
}

const Member* AgentDirectory::Find(const InstanceId& agent) const {
  const auto listed = members_.find(agent);
  return listed == members_.end() ? nullptr : &listed->second.member;
}

const Member* AgentDirectory::AgentOf(int rank) const {
  const auto agent = agents_.find(rank);
  return agent == agents_.end() ? nullptr : Find(agent->second);
}

std::vector<Member> AgentDirectory::Unplaced(const GroupName& group) const {
  std::set<InstanceId> placed = {self_};
  for (const auto& [rank, agent] : agents_) placed.insert(agent);
  std::vector<Member> unplaced;
  for (const auto& [id, listed] : members_) {
    if (listed.member.group != group || placed.contains(id)) continue;
    unplaced.push_back(listed.member);
  }
  return unplaced;
}

}  // namespace mangohold
