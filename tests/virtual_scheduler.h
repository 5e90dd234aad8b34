// A scheduler in simulated time: runs tasks in the order of their due times,
// without waiting.
#pragma once

#include <functional>
#include <map>
#include <utility>

#include "core/scheduler.h"

namespace mangohold::testing {

class VirtualScheduler : public Scheduler {
 public:
  TimePoint Now() const override { return now_; }
  void After(Duration delay, std::function<void()> task) override {
    tasks_.emplace(now_ + delay, std::move(task));
  }
  void Every(Duration interval, const std::function<void()>& task) {
    After(interval, [this, interval, task] {
      task();
      Every(interval, task);
    });
  }
  // Runs all tasks that are due up to `end`, and sets the time to `end`.
  void RunUntil(TimePoint end) {
    while (!tasks_.empty() && tasks_.begin()->first <= end) {
      const auto first = tasks_.begin();
      now_ = first->first;
      const auto task = std::move(first->second);
      tasks_.erase(first);
      task();
    }
    now_ = end;
  }

 private:
  TimePoint now_ = TimePoint() + std::chrono::seconds(100);
  std::multimap<TimePoint, std::function<void()>> tasks_;
};

}  // namespace mangohold::testing
