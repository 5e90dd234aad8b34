// The run and the graceful leave of daemons with a control and a traffic
// thread.
#pragma once

#include <functional>

#include "core/clock.h"
#include "net/event_loop.h"

namespace mangohold {

// Stops `control` once `is_idle` says so, but not before `earliest` and not
// after `latest`. Runs on the traffic thread, which `is_idle` belongs to.
void StopWhenIdle(EventLoop& traffic, EventLoop& control,
                  std::function<bool()> is_idle, TimePoint earliest,
                  TimePoint latest);

// Calls `leave` at the first SIGTERM; a second one stops `control` at once.
void OnLeave(EventLoop& control, std::function<void()> leave);

// Runs `traffic` on a thread of its own and `control` on this one until it is
// stopped, and ends the process.
[[noreturn]] void RunThreads(EventLoop& control, EventLoop& traffic);

}  // namespace mangohold
