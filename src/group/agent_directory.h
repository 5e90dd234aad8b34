// The agents registered in the store, and which of them serves which rank of
// the local group. Belongs to one event loop's thread.
//
// To keep the load on the store low, the list is read only at the start, while
// a rank's agent is missing, and when the last read is 20 s old.
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
  // `prefix` is the key prefix of member records in the store; `self` is the
  // local agent.
  AgentDirectory(Store& store, std::string prefix, InstanceId self);

  // Reads the list from the store if that is due. To be called periodically.
  // `is_agent_missing` is true while the agent of some rank is unknown or
  // silent; the list is then read every 500 ms.
  void Refresh(TimePoint now, bool is_agent_missing);
  // Records a status message in which `agent` named itself and its rank.
  void OnStatus(int rank, const Member& agent, TimePoint now);

  // Null if the agent is unknown, or was dropped after it left the list.
  const Member* Find(const InstanceId& agent) const;
  const Member* FindByRank(int rank) const;
  // The other agents of `group` that haven't reported a rank yet. The agents of
  // missing ranks are among them.
  std::vector<Member> AgentsWithoutRank(const GroupName& group) const;

 private:
  struct Record {
    Member member;
    TimePoint last_seen;  // last seen in the list or in a status
  };

  void ReadList(TimePoint now);
  void OnList(const std::vector<StoreItem>& items, TimePoint now);

  Store& store_;
  std::string prefix_;
  InstanceId self_;
  std::map<InstanceId, Record> members_;
  std::map<int, InstanceId> agent_by_rank_;  // key: rank
  bool is_reading_ = false;
  // Start of the last successful read; absent: none yet.
  std::optional<TimePoint> last_read_at_;
  TimePoint last_attempt_at_;
};

}  // namespace mangohold
