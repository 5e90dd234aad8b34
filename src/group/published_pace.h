// Which pace of an engine is listed, so that entries learn of a slow rank at
// once and the store isn't written to for each small change.
#pragma once

#include <algorithm>
#include <cmath>

#include "core/clock.h"

namespace mangohold {

class PublishedPace {
 public:
  // The engine takes `pace` times as long as usual. True if another pace is to
  // be listed: `listed()`.
  bool Update(double pace, TimePoint now) {
    const double rounded = std::round(std::max(1.0, pace) / kStep) * kStep;
    const bool has_changed = std::abs(pace - value_) > kStep;
    if (!has_changed || rounded == value_) return false;
    if (changed_at_ != TimePoint() && now - changed_at_ < kMinInterval)
      return false;
    value_ = rounded;
    changed_at_ = now;
    return true;
  }
  double value() const { return value_; }

 private:
  static constexpr double kStep = 0.25;
  // Between two listings.
  static constexpr std::chrono::milliseconds kMinInterval{500};

  double value_ = 1;
  TimePoint changed_at_;
};

}  // namespace mangohold
