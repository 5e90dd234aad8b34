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

class StoreContact {
 public:
  struct Options {
    // Backend servers' entries lapse after three heartbeats that didn't come,
    // the last of which was written up to one interval before the absence. One
    // that is shorter than two intervals lapses none.
    Duration least_absence = std::chrono::milliseconds(2'400);
    // Entries that lapsed with the store away are written again within this
    // time of its return.
    Duration settling = std::chrono::seconds(2);
  };

  StoreContact() : StoreContact(Options()) {}
  explicit StoreContact(Options options) : options_(options) {}

  // The store answered this process, or one that it hears, at `at` or later.
  void OnAnswered(TimePoint at) {
    if (at - answered_at_ > options_.least_absence) returned_at_ = at;
    answered_at_ = std::max(answered_at_, at);
  }
  // The store came back from an older copy, however shortly it was away.
  void OnRestored(TimePoint now) { returned_at_ = now; }

  // False while the store may be away, and after its return until entries that
  // lapsed meanwhile are back: an entry that vanishes then says little.
  bool IsSettled(TimePoint now) const {
    return now - answered_at_ <= options_.least_absence &&
           now - returned_at_ >= options_.settling;
  }

 private:
  Options options_;
  TimePoint answered_at_;
  TimePoint returned_at_;
};

}  // namespace mangohold
