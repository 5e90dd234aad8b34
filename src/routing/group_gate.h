// Whether work may go to a group of ranks, as one entry sees it, and how much.
// Answers two patterns:
//
// - All ranks of a group refuse work while it isn't open. One request at a time
//   tries whether it is open again; the others wait.
// - A group that opens anew spreads its experts unevenly until its first map
//   switch, so that its passes take longer with each stream and each prompt
//   that is read. All callers that waited would fill it at once, and every
//   stream of the group would pause for too long. So it starts slowly: a part
//   of its places is used, more of them for as long as events come in good
//   time, and fewer when they don't.
//
// No clock and no network.
#pragma once

#include <optional>

#include "core/clock.h"
#include "core/ids.h"
#include "routing/standstill.h"

namespace mangohold {

// One attempt of a request, numbered by the entry.
using AttemptNumber = Number<struct AttemptNumberTag>;

class GroupGate {
 public:
  struct Options {
    // A closed group is tried again after this.
    Duration retry = std::chrono::milliseconds(120);
    // The part of this entry's places in a group that has just opened.
    double first_part = 0.25;
    // The slow start is over after this at the latest.
    Duration longest_start = std::chrono::seconds(5);
  };

  GroupGate() = default;
  explicit GroupGate(Options options) : options_(options) {}

  // The places of the group's ranks that fall to this entry.
  void SetPlaces(double places) { places_ = places; }

  // True if one more request may go to the group.
  bool MayPass(TimePoint now) const;
  // `target_gap` is the longest pause between events on time; 0: none.
  void OnSent(AttemptNumber number, Duration target_gap);
  void OnEnded(AttemptNumber number);
  // A rank refused work. True if it stands for the whole group, which is closed
  // now.
  bool OnRefused(const InstanceId& rank, TimePoint now);
  // The answer to a request of `sent` has begun: the group is open.
  void OnBegun(const InstanceId& rank, TimePoint sent, TimePoint now);
  // A stream brought an event `gap` after the one before.
  void OnEventGap(const InstanceId& rank, Duration gap, TimePoint now);

  bool is_closed() const { return closed_since_.has_value(); }
  // The time for which work is expected to wait for a closed group: it stays
  // closed for as long again as it has been. Nothing if it is open.
  std::optional<Duration> ExpectedWait(TimePoint now) const;
  // How far apart the events of its streams come lately, in seconds; 0: not
  // known.
  double GapSeconds(TimePoint now) const;

  Standstill& standstill() { return standstill_; }
  const Standstill& standstill() const { return standstill_; }

 private:
  bool IsStarting(TimePoint now) const;
  void AdjustStart(Duration gap, TimePoint now);

  Options options_;
  double places_ = 0;
  int in_progress_ = 0;
  Duration target_gap_{0};
  // The rank that refused last, and when.
  InstanceId refused_by_;
  TimePoint refused_at_;
  std::optional<TimePoint> closed_since_;
  TimePoint next_try_;
  std::optional<AttemptNumber> trial_;
  // The slow start: since when, the requests that may be in progress, and when
  // that was adjusted last.
  std::optional<TimePoint> started_at_;
  double most_in_progress_ = 0;
  TimePoint adjusted_at_;
  double gap_seconds_ = 0;  // smoothed
  TimePoint gap_at_;
  Standstill standstill_;
};

}  // namespace mangohold
