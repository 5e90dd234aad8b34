// The run and the graceful leave of daemons with a control and a traffic
// thread.
#pragma once

#include <functional>

#include "core/clock.h"
#include "net/event_loop.h"

namespace mangohold {

// How a process leaves at SIGTERM.
struct Leave {
  // Says on the control thread that it leaves, so that others stop sending;
  // may be absent.
  std::function<void()> announce;
  // Begins to leave on the traffic thread.
  std::function<void()> begin;
  // On the traffic thread: true once nothing is in progress.
  std::function<bool()> is_idle;
  // It ends once it is idle, but between these times after the signal.
  Duration earliest{0};
  Duration latest{0};
};

// Leaves at the first SIGTERM; a second one stops `control` at once.
void OnLeave(EventLoop& control, EventLoop& traffic, Leave leave);

// Runs `traffic` on a thread of its own and `control` on this one until it is
// stopped, and ends the process.
[[noreturn]] void RunThreads(EventLoop& control, EventLoop& traffic);

}  // namespace mangohold
