// Time and delayed tasks as classes that wait see them. An event loop provides
// both; tests provide a virtual time.
#pragma once

#include <functional>

#include "core/clock.h"

namespace mangohold {

class Scheduler {
 public:
  virtual ~Scheduler() = default;
  // Time since the machine's start, time spent suspended included.
  virtual TimePoint Now() const = 0;
  // Runs `task` on the scheduler's thread after `delay`.
  virtual void After(Duration delay, std::function<void()> task) = 0;
};

}  // namespace mangohold
