// The leader of a group as an agent knows it: its term, and the rank on its
// machine once a heartbeat has named it. Uses neither clock nor network.
#pragma once

#include <optional>
#include <utility>

#include "core/ids.h"
#include "group/leader_term.h"

namespace mangohold {

struct KnownLeader {
  LeaderTerm term;          // the highest one that the agent has seen
  std::optional<int> rank;  // absent: unknown

  // Another agent leads in `newer`.
  void Follow(LeaderTerm newer) { *this = {.term = newer}; }
  void OnHeartbeat(int of_leader) { rank = of_leader; }
  // This agent, which serves `own_rank`, leads in `newer`. Returns the leader
  // before it, which may have been this agent too.
  KnownLeader Succeed(LeaderTerm newer, int own_rank) {
    return std::exchange(*this, {.term = newer, .rank = own_rank});
  }
};

}  // namespace mangohold
