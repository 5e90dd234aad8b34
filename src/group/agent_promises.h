// What the process of an agent has promised the leaders of its group since its
// start: that it is ready for a switch, and that a leader may arm its own rank.
// Both are kept in memory only, so a process that has just started doesn't know
// what its predecessor promised. `GrantOf` tells "not granted" from "unknown".
// Uses neither clock nor network.
#pragma once

#include "backend/engine_api.h"

namespace mangohold {

// Whether an agent has granted the arming of a leader's own rank.
enum class Grant {
  kUnknown,  // the process may have started after the grant
  kNotGiven,
  kGiven
};

class AgentPromises {
 public:
  // Takes a readiness query for the switch to `version`; `report` is the newest
  // one of the agent's rank. Queries precede all holds of their switch. A rank
  // that holds a pass or is armed is therefore past its queries, and this one
  // was delayed: answering it would claim that the process has seen the switch
  // from its beginning.
  void OnReadinessQuery(MapVersion version, const RankReport& report) {
    if (!report.held && !report.armed) ready_for_ = version;
  }
  void OnGrantRequest(MapVersion version) { granted_ = version; }

  // The newest version of each kind; 0: none since the start of the process.
  MapVersion ready_for() const { return ready_for_; }
  MapVersion granted() const { return granted_; }

 private:
  MapVersion ready_for_;
  MapVersion granted_;
};

// What an agent's newest promises tell about a grant for `version`. Readiness
// precedes grants, so only a process that was ready for the same version knows
// that it hasn't granted it.
inline Grant GrantOf(MapVersion version, MapVersion ready_for,
                     MapVersion granted) {
  if (granted == version) return Grant::kGiven;
  return ready_for == version ? Grant::kNotGiven : Grant::kUnknown;
}

}  // namespace mangohold
