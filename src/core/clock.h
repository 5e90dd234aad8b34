// Time as the decision classes see it: a value that is passed in.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace mangohold {

// Monotonic time. Decision classes never read a clock; daemons pass
// `Clock::now()` and tests pass a virtual time.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Millis = std::chrono::milliseconds;

// Time since the machine's start, time spent suspended included. Ages of what
// others have told are measured by it, so that a machine that was suspended
// doesn't take old news for fresh.
inline TimePoint BootNow() {
  std::timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

// Whole milliseconds in `duration`, rounded down.
constexpr std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<Millis>(duration).count();
}

// Seconds in `duration` as a fraction, for rates and Prometheus output.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace mangohold
