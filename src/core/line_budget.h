// Bounds how many log lines a process writes in a second.
#pragma once

#include <cstdint>
#include <mutex>

#include "core/clock.h"

namespace mangohold {

// Safe from any thread.
class LineBudget {
 public:
  explicit LineBudget(int lines_per_s) : lines_per_s_(lines_per_s) {}

  // True if one more line may be written at `now`. With the first line of a new
  // second, `dropped` tells how many were not written in those before it.
  bool Take(TimePoint now, std::uint64_t& dropped) {
    const std::lock_guard lock(mutex_);
    dropped = 0;
    if (now - began_ >= std::chrono::seconds(1)) {
      began_ = now;
      taken_ = 0;
      std::swap(dropped, dropped_);
    }
    if (taken_ >= lines_per_s_) {
      ++dropped_;
      return false;
    }
    ++taken_;
    return true;
  }

 private:
  int lines_per_s_;
  std::mutex mutex_;
  TimePoint began_;
  int taken_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace mangohold
