// Whether work may go to a group of ranks, as one entry sees it, and how fast
// the group goes. Answers the pattern in which all ranks of a group refuse work
// while it isn't open: one request at a time tries whether it is open again,
// and the others wait.
//
// No clock and no network.
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
    // A closed group is tried again after this.
    Duration probe_interval = std::chrono::milliseconds(120);
  };

  GroupGate() = default;
  explicit GroupGate(Options options) : options_(options) {}

  // True if one more request may go to the group.
  bool MayPass(TimePoint now) const;
  void OnSent(AttemptNumber number);
  void OnEnded(AttemptNumber number);
  // A rank refused work. True if it stands for the whole group, which is closed
  // now.
  bool OnRefused(const InstanceId& rank, TimePoint now);
  // The answer to a request of `sent` has begun: the group is open.
  void OnResponseStarted(const InstanceId& rank, TimePoint sent, TimePoint now);
  // A stream brought an event `gap` after the one before.
  void OnEventGap(const InstanceId& rank, Duration gap, TimePoint now);

  bool is_closed() const { return closed_since_.has_value(); }
  // The time for which work is expected to wait for a closed group: it stays
  // closed for as long again as it has been. Nothing if it is open.
  std::optional<Duration> ExpectedWait(TimePoint now) const;
  // How far apart the events of its streams come lately, in seconds; 0: not
  // known.
  double GapSeconds(TimePoint now) const;

  StuckDetector& stuck_detector() { return stuck_detector_; }
  const StuckDetector& stuck_detector() const { return stuck_detector_; }

 private:
  Options options_;
  // The rank that refused last, and when.
  InstanceId refused_by_;
  TimePoint refused_at_;
  std::optional<TimePoint> closed_since_;
  TimePoint next_probe_;
  std::optional<AttemptNumber> probe_;
  double gap_seconds_ = 0;  // smoothed
  TimePoint gap_updated_;
  StuckDetector stuck_detector_;
};

}  // namespace mangohold
