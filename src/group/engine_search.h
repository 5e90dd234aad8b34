// The search for the engine of a rank whose agent is silent, among all engines
// of the service. Engines of other groups are remembered, and the search slows
// down, so that its calls don't grow with the fleet. No clock and no network.
#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "backend/engine_api.h"
#include "core/clock.h"

namespace mangohold {

class EngineSearch {
 public:
  // True if it is time to look again; the time after that one is further away.
  bool IsDue(TimePoint now) {
    if (now < next_at_) return false;
    next_at_ = now + interval_;
    interval_ = std::min<Duration>(interval_ * 2, kMaxInterval);
    return true;
  }
  // All is found: the next search begins at once.
  void Reset() {
    next_at_ = TimePoint();
    interval_ = kInitialInterval;
  }

  void OnReport(const Endpoint& engine, const GroupName& group, TimePoint now) {
    groups_[engine] = {.group = group, .reported_at = now};
  }
  // True if the engine lately told that it is in another group.
  bool IsInOtherGroup(const Endpoint& engine, const GroupName& own,
                      TimePoint now) const {
    const auto known = groups_.find(engine);
    return known != groups_.end() && known->second.group != own &&
           now - known->second.reported_at < kGroupRetention;
  }

 private:
  static constexpr Millis kInitialInterval{300};
  static constexpr Millis kMaxInterval{4'800};
  // Addresses are used again by other engines.
  static constexpr std::chrono::seconds kGroupRetention{20};

  struct ReportedGroup {
    GroupName group;
    TimePoint reported_at;
  };

  TimePoint next_at_;
  Duration interval_ = kInitialInterval;
  std::map<Endpoint, ReportedGroup> groups_;
};

}  // namespace mangohold
