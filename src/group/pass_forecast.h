// Chooses the pass for which the ranks of a group are armed: one that the group
// reaches only after all of them have been. Does no I/O and reads no clock.
#pragma once

#include "backend/engine_api.h"
#include "core/clock.h"

namespace mangohold {

class PassForecast {
 public:
  // Allows at least `min_arming_time` for a hold and the arming of all ranks.
  explicit PassForecast(Duration min_arming_time)
      : min_arming_time_(min_arming_time) {}

  // The group has formed anew: the rate of its passes is unknown.
  void OnNewEpoch();
  // `last` is the newest pass that the ranks have reported.
  void OnStatus(PassNumber last, TimePoint now);
  // A hold is being placed, or has been released after its switch. Unanswered
  // orders make the arming of all ranks slow; then the next hold is placed
  // further ahead, so that the group doesn't reach it before all are armed.
  void OnArmingBegan(TimePoint now) { arming_began_ = now; }
  void OnReleased(TimePoint now);

  // Returns the pass to hold, where `last` is the newest one; it has to be
  // recent.
  PassNumber Choose(PassNumber last) const;

 private:
  Duration min_arming_time_;
  // From the choice of a pass to the release of its hold, from recent switches.
  Duration expected_arming_time_{0};
  TimePoint arming_began_;  // TimePoint(): no hold is being placed
  // Rate of passes per second, measured from the statuses; 0: unknown.
  PassNumber rate_pass_;
  TimePoint rate_measured_at_;
  double passes_per_s_ = 0;
};

}  // namespace mangohold
