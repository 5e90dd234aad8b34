// Limits the requests that the ranks of a group run at once, so that their
// passes stay within the longest gap between two events that is on time. All
// ranks compute each pass together: with one request too many, every stream of
// the group is late. Does no I/O and reads no clock.
//
// The published figures tell how long a pass takes on ranks with an even load.
// The gaps that are seen between events tell by which factor it takes longer,
// because of prefill and of experts in uneven demand. A stream lasts longer
// than such a state, so the limit follows the largest factor of the last
// seconds.
#pragma once

#include "config/deployment.h"
#include "core/clock.h"

namespace mangohold {

class PassLimit {
 public:
  struct Options {
    // Fraction of the longest gap on time that a pass may take; 0: no limit.
    double gap_fraction = 0;
    // Time in which the largest factor falls by half.
    Duration half_life = std::chrono::seconds(3);
    // A rank gets at least this fraction of its slots. With fewer requests a
    // group loses more by the fixed part of its passes than streams gain.
    double min_slot_fraction = 0.5;
  };

  PassLimit() = default;
  explicit PassLimit(Options options) : options_(options) {}

  // Events came `gap_seconds` apart while each rank ran `requests`, on average.
  void OnGap(double gap_seconds, double requests, const EngineFigures& engine,
             TimePoint now);
  // Requests that a rank with `slots` may run at once. Equals `slots` while no
  // gap has been seen, and without figures or a `target_gap`.
  int MaxRequests(int slots, const EngineFigures& engine, Millis target_gap,
                  TimePoint now) const;

 private:
  double FactorAt(TimePoint now) const;

  Options options_;
  // Seen duration of a pass relative to that on evenly loaded ranks; 0: none
  // seen.
  double factor_ = 0;
  TimePoint updated_;
};

}  // namespace mangohold
