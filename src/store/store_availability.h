// Detects outages of the store, from the answers that this process and its
// peers receive. Does no I/O and reads no clock.
//
// Failed calls don't count as evidence of an outage. A call can fail for
// reasons that have nothing to do with the store's state: for example, a watch
// is cut, or the store rejects a single caller.
#pragma once

#include <algorithm>

#include "core/clock.h"

namespace mangohold {

class StoreAvailability {
 public:
  struct Options {
    // The shortest time without answers that counts as an outage. The key of a
    // backend server expires after three missed heartbeats, the last of which
    // was written up to one interval before the outage, so outages shorter than
    // two intervals expire no key.
    Duration outage_threshold = std::chrono::milliseconds(2'400);
    // Keys that expired in an outage are written again within this time after
    // its end.
    Duration settling_time = std::chrono::seconds(2);
  };

  StoreAvailability() : StoreAvailability(Options()) {}
  explicit StoreAvailability(Options options) : options_(options) {}

  // The store answered this process or a peer at `at` or later.
  void OnAnswered(TimePoint at) {
    if (at - last_answer_ > options_.outage_threshold) last_return_ = at;
    last_answer_ = std::max(last_answer_, at);
  }
  // The store was restored from an older backup, even if it was unavailable for
  // less than the threshold.
  void OnRestored(TimePoint now) { last_return_ = now; }

  // False during a possible outage, and after it until keys that expired in it
  // have been written again. While false, a key that disappears doesn't mean
  // that its owner has left.
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
