// Which pace of an engine is listed, so that entries learn of a slow rank at
// once and the store isn't written to for each small change.
#pragma once

#include <algorithm>
#include <cmath>

#include "core/clock.h"

namespace mangohold {

class PaceListing {
 public:
  // The engine takes `pace` times as long as usual. True if another pace is to
  // be listed: `listed()`.
  bool OnPace(double pace, TimePoint now) {
    const double step = std::round(std::max(1.0, pace) / kStep) * kStep;
    const bool has_changed = std::abs(pace - listed_) > kStep;
    if (!has_changed || step == listed_) return false;
    if (listed_at_ != TimePoint() && now - listed_at_ < kInterval) return false;
    listed_ = step;
    listed_at_ = now;
    return true;
  }
  double listed() const { return listed_; }

 private:
  static constexpr double kStep = 0.25;
  // Between two listings.
  static constexpr std::chrono::milliseconds kInterval{500};

  double listed_ = 1;
  TimePoint listed_at_;
};

}  // namespace mangohold
