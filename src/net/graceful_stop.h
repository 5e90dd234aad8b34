// The end of a graceful leave, common to the daemons.
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

}  // namespace mangohold
