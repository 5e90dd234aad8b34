// Schedules the search for the engine of a rank whose agent is silent. The
// search queries all engines of the service. To keep the number of calls
// independent of the fleet size, it backs off exponentially and skips engines
// that recently reported another group. Uses neither clock nor network.
#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "backend/engine_api.h"
#include "core/clock.h"

namespace mangohold {

class EngineSearch {
 public:
  // True if a search is due. Then doubles the interval to the next one, up to
  // kMaxInterval.
  bool IsDue(TimePoint now) {
    if (now < next_at_) return false;
    next_at_ = now + interval_;
    interval_ = std::min<Duration>(interval_ * 2, kMaxInterval);
    return true;
  }
  // Ends the backoff once all engines are found: the next search is due at
  // once.
  void Reset() {
    next_at_ = TimePoint();
    interval_ = kInitialInterval;
  }

  void OnReport(const Endpoint& engine, const GroupName& group, TimePoint now) {
    groups_[engine] = {.group = group, .reported_at = now};
  }
  // True if the engine reported another group than `own` within the last
  // kGroupRetention.
  bool IsInOtherGroup(const Endpoint& engine, const GroupName& own,
                      TimePoint now) const {
    const auto known = groups_.find(engine);
    return known != groups_.end() && known->second.group != own &&
           now - known->second.reported_at < kGroupRetention;
  }

 private:
  static constexpr Millis kInitialInterval{300};
  static constexpr Millis kMaxInterval{4'800};
  // Limited, since an address may be reused by an engine of another group.
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
