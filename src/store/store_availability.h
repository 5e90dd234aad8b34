// Whether the store has been away, as far as this process and those that it
// hears can tell. No clock and no network.
//
// It is judged by answers, and not by calls that failed: a call fails for many
// reasons that say nothing of the store, such as a watch that was cut, or a
// caller that is refused alone.
#pragma once

#include <algorithm>

#include "core/clock.h"

namespace mangohold {

class StoreAvailability {
 public:
  struct Options {
    // Backend servers' entries lapse after three heartbeats that didn't come,
    // the last of which was written up to one interval before the absence. One
    // that is shorter than two intervals lapses none.
    Duration outage_threshold = std::chrono::milliseconds(2'400);
    // Entries that lapsed with the store away are written again within this
    // time of its return.
    Duration settling_time = std::chrono::seconds(2);
  };

  StoreAvailability() : StoreAvailability(Options()) {}
  explicit StoreAvailability(Options options) : options_(options) {}

  // The store answered this process, or one that it hears, at `at` or later.
  void OnAnswered(TimePoint at) {
    if (at - last_answer_ > options_.outage_threshold) last_return_ = at;
    last_answer_ = std::max(last_answer_, at);
  }
  // The store came back from an older copy, however shortly it was away.
  void OnRestored(TimePoint now) { last_return_ = now; }

  // False while the store may be away, and after its return until entries that
  // lapsed meanwhile are back: an entry that vanishes then says little.
  bool IsSettled(TimePoint now) const {
    return now - last_answer_ <= options_.outage_threshold &&
           now - last_return_ >= options_.settling_time;
  }

 private:
  Options options_;
  TimePoint last_answer_;
  TimePoint last_return_;
};

}  // namespace mangohold
