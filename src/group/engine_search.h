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
    next_at_ = now + spacing_;
    spacing_ = std::min<Duration>(spacing_ * 2, kLongestSpacing);
    return true;
  }
  // All is found: the next search begins at once.
  void Rest() {
    next_at_ = TimePoint();
    spacing_ = kFirstSpacing;
  }

  void OnReport(const Endpoint& engine, const GroupName& group, TimePoint now) {
    groups_[engine] = {.group = group, .at = now};
  }
  // True if the engine lately told that it is in another group.
  bool IsForeign(const Endpoint& engine, const GroupName& own,
                 TimePoint now) const {
    const auto known = groups_.find(engine);
    return known != groups_.end() && known->second.group != own &&
           now - known->second.at < kMemory;
  }

 private:
  static constexpr Millis kFirstSpacing{300};
  static constexpr Millis kLongestSpacing{4'800};
  // Addresses are used again by other engines.
  static constexpr std::chrono::seconds kMemory{20};

  struct Told {
    GroupName group;
    TimePoint at;
  };

  TimePoint next_at_;
  Duration spacing_ = kFirstSpacing;
  std::map<Endpoint, Told> groups_;
};

}  // namespace mangohold
