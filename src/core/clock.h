// Time as the decision classes see it: a value that is passed in.
#pragma once

#include <chrono>

namespace mangohold {

// Monotonic time. Decision classes never read a clock; daemons pass
// `Clock::now()` and tests pass a virtual time.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Millis = std::chrono::milliseconds;

// Whole milliseconds in `duration`, rounded down.
constexpr std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<Millis>(duration).count();
}

// Seconds in `duration` as a fraction, for rates and Prometheus output.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace mangohold
