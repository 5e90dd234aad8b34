// The slowdown of an engine as published in the store: a factor by which its
// steps take longer than usual (1: normal speed). Entries must learn of a slow
// rank quickly, but the store must not be written for every small change. So
// the published value is rounded to steps and changes at most twice a second.
#pragma once

#include <algorithm>
#include <cmath>

#include "core/clock.h"

namespace mangohold {

class PublishedSlowdown {
 public:
  // Takes the measured slowdown. Returns true if `value()` has changed and must
  // be published.
  bool Update(double slowdown, TimePoint now) {
    const double rounded = std::round(std::max(1.0, slowdown) / kStep) * kStep;
    const bool has_changed = std::abs(slowdown - value_) > kStep;
    if (!has_changed || rounded == value_) return false;
    if (set_at_ != TimePoint() && now - set_at_ < kMinInterval) return false;
    value_ = rounded;
    set_at_ = now;
    return true;
  }
  double value() const { return value_; }

 private:
  static constexpr double kStep = 0.25;
  // Minimum time between two changes of the published value.
  static constexpr std::chrono::milliseconds kMinInterval{500};

  double value_ = 1;
  TimePoint set_at_;
};

}  // namespace mangohold
