// Counts events within a sliding time window.
#pragma once

#include <cstddef>
#include <deque>

#include "core/clock.h"

namespace mangohold {

// Keeps one timestamp per event of the window.
class SlidingCount {
 public:
  explicit SlidingCount(Duration window) : window_(window) {}

  void Add(TimePoint now) { times_.push_back(now); }
  std::size_t Count(TimePoint now) const {
    while (!times_.empty() && times_.front() + window_ < now) {
      times_.pop_front();
    }
    return times_.size();
  }

 private:
  Duration window_;
  mutable std::deque<TimePoint> times_;  // `Count` removes expired ones
};

}  // namespace mangohold
