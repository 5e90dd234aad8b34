// Admission gate of a group of ranks (engine processes that compute each pass
// together), as one entry sees the group. Works like a circuit breaker: while a
// group is not running, all its ranks refuse requests, so one probe request at
// a time is admitted and all others wait. Also tracks how fast the group
// streams events. Does no I/O and reads no clock.
#pragma once

#include <optional>

#include "core/clock.h"
#include "core/ids.h"
#include "routing/stuck_detector.h"

namespace mangohold {

// One attempt of a request, numbered by the entry.
using AttemptNumber = Number<struct AttemptNumberTag>;

class GroupGate {
 public:
  struct Options {
    // Time between a refusal by a closed group and the next probe.
    Duration probe_interval = std::chrono::milliseconds(120);
  };

  GroupGate() = default;
  explicit GroupGate(Options options) : options_(options) {}

  // True if one more request may be sent to the group.
  bool MayPass(TimePoint now) const;
  void OnSent(AttemptNumber number);
  void OnEnded(AttemptNumber number);
  // A rank refused a request. Returns true if the refusal counts for the whole
  // group, which is then closed.
  bool OnRefused(const InstanceId& rank, TimePoint now);
  // The response to a request that was sent at `sent` has started. Opens the
  // group.
  void OnResponseStarted(const InstanceId& rank, TimePoint sent, TimePoint now);
  // A stream delivered an event `gap` after its previous one.
  void OnEventGap(const InstanceId& rank, Duration gap, TimePoint now);

  bool is_closed() const { return closed_since_.has_value(); }
  // Expected time until a closed group takes requests again, which is estimated
  // as the time for which it has been closed so far. Absent if it is open.
  std::optional<Duration> ExpectedWait(TimePoint now) const;
  // Recent time between two events of a stream of the group, in seconds; 0:
  // unknown.
  double GapSeconds(TimePoint now) const;

  StuckDetector& stuck_detector() { return stuck_detector_; }
  const StuckDetector& stuck_detector() const { return stuck_detector_; }

 private:
  Options options_;
  // The rank that sent the latest refusal, and its time.
  InstanceId refused_by_;
  TimePoint refused_at_;
  std::optional<TimePoint> closed_since_;
  TimePoint next_probe_;
  std::optional<AttemptNumber> probe_;  // the one in progress
  double gap_seconds_ = 0;              // exponentially smoothed
  TimePoint gap_updated_;
  StuckDetector stuck_detector_;
};

}  // namespace mangohold
