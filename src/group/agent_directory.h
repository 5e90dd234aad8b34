// The agents that the store lists, and which of them stands beside which rank
// of the own group. Belongs to one event loop's thread.
//
// The list is read when it is needed: at first, when a rank's agent is missing,
// and rarely otherwise.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "store/member.h"
#include "store/store.h"

namespace mangohold {

class AgentDirectory {
 public:
  // `prefix` is the one of the members' keys in the store.
  AgentDirectory(Store& store, std::string prefix, InstanceId self);

  // Call it often. Reads the list if that is due; `is_missing` tells that an
  // agent is looked for in vain.
  void Refresh(TimePoint now, bool is_agent_missing);
  // An agent told of itself and its rank.
  void OnHeard(int rank, const Member& agent, TimePoint now);

  // Nothing for an agent that isn't known or not listed.
  const Member* Find(const InstanceId& agent) const;
  const Member* FindByRank(int rank) const;
  // The other agents of the group that haven't been heard beside one of its
  // ranks. Among them are those of ranks that are looked for.
  std::vector<Member> AgentsWithoutRank(const GroupName& group) const;

 private:
  struct Record {
    Member member;
    TimePoint listed_at;  // it was listed then
  };

  void ReadList(TimePoint now);
  void OnList(const std::vector<StoreItem>& items, TimePoint now);

  Store& store_;
  std::string prefix_;
  InstanceId self_;
  std::map<InstanceId, Record> members_;
  std::map<int, InstanceId> agent_by_rank_;  // by rank
  bool is_reading_ = false;
  std::optional<TimePoint>
      last_read_at_;  // asked for at; absent: never with success
  TimePoint last_attempt_at_;
};

}  // namespace mangohold
