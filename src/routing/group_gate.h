// Whether work may go to a group of ranks, as one entry sees it, and how fast
// the group goes. Answers two patterns:
//
// - All ranks of a group refuse work while it isn't open. One request at a time
//   tries whether it is open again; the others wait.
// - A group that opens anew spreads its experts unevenly until its first map
//   switch, and its passes take several times as long. All callers that waited
//   would then be read in these passes, and each pass that reads holds up every
//   stream of the group. So the group settles first: a few streams, which keep
//   its passes going, show when they take about as long as published, and only
//   then the others follow. That takes a bounded time, since a map may never
//   come.
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
    // A group that has opened is taken for settled after this at the latest.
    Duration longest_settling = std::chrono::milliseconds(1'500);
    // Requests of this entry in a group that settles.
    int most_while_settling = 1;
  };

  GroupGate() = default;
  explicit GroupGate(Options options) : options_(options) {}

  // Of an even group at its usual work, where published: the time of a pass.
  void SetEvenPass(Duration even_pass) { even_pass_ = even_pass; }

  // True if one more request may go to the group.
  bool MayPass(TimePoint now) const;
  void OnSent(AttemptNumber number);
  void OnEnded(AttemptNumber number);
  // A rank refused work. True if it stands for the whole group, which is closed
  // now.
  bool OnRefused(const InstanceId& rank, TimePoint now);
  // The answer to a request of `sent` has begun: the group is open.
  void OnBegun(const InstanceId& rank, TimePoint sent, TimePoint now);
  // A stream brought an event `gap` after the one before.
  void OnEventGap(const InstanceId& rank, Duration gap, TimePoint now);

  bool is_closed() const { return closed_since_.has_value(); }
  std::optional<TimePoint> closed_since() const { return closed_since_; }
  bool IsSettling(TimePoint now) const;
  // The time for which work is still expected to wait for the group; nothing if
  // it takes work. A closed group is expected to stay so for as long again as
  // it has been.
  std::optional<Duration> ExpectedWait(TimePoint now) const;
  // How far apart the events of its streams come lately, in seconds; 0: not
  // known.
  double GapSeconds(TimePoint now) const;

  Standstill& standstill() { return standstill_; }
  const Standstill& standstill() const { return standstill_; }

 private:
  void NoteSettling(Duration gap, TimePoint now);

  Options options_;
  Duration even_pass_{0};
  int in_progress_ = 0;
  // The rank that refused last, and when.
  InstanceId refused_by_;
  TimePoint refused_at_;
  std::optional<TimePoint> closed_since_;
  TimePoint next_try_;
  std::optional<AttemptNumber> trial_;
  std::optional<TimePoint> settling_since_;
  int even_gaps_ = 0;       // in a row, while settling
  double gap_seconds_ = 0;  // smoothed
  TimePoint gap_at_;
  Standstill standstill_;
};

}  // namespace mangohold
