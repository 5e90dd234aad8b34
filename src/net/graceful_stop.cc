#include "net/graceful_stop.h"

#include <utility>

#include "core/log.h"

namespace mangohold {
namespace {

// How often a leaving process looks whether it is idle.
constexpr Duration kLeaveTick = std::chrono::milliseconds(50);

}  // namespace

void StopWhenIdle(EventLoop& traffic, EventLoop& control,
                  std::function<bool()> is_idle, TimePoint earliest,
                  TimePoint latest) {
  const TimePoint now = Clock::now();
  const bool is_due = now >= earliest && is_idle();
  if (is_due || now >= latest) {
    Log(LogLevel::kInfo, "stopped", {{"is_idle", is_idle()}});
    // Answers that were just written leave the process first.
    traffic.After(kLeaveTick, [&control] { control.Stop(); });
    return;
  }
  traffic.After(kLeaveTick, [&traffic, &control, earliest, latest,
                             is_idle = std::move(is_idle)] {
    StopWhenIdle(traffic, control, is_idle, earliest, latest);
  });
}

}  // namespace mangohold
