#include "net/graceful_stop.h"

#include <memory>
#include <utility>

#include "core/daemon.h"
#include "core/log.h"

namespace mangohold {
namespace {

// How often a leaving process looks whether it is idle.
constexpr Duration kLeaveTick = std::chrono::milliseconds(50);

// Runs on the traffic thread.
void StopWhenIdle(EventLoop& traffic, EventLoop& control,
                  std::function<bool()> is_idle, TimePoint earliest,
                  TimePoint latest) {
  const TimePoint now = Clock::now();
  const bool is_due = now >= earliest && is_idle();
  if (is_due || now >= latest) {
    Log(LogLevel::kInfo, "leaving_ended", {{"is_idle", is_idle()}});
    // Answers that were just written leave the process first.
    traffic.After(kLeaveTick, [&control] { control.Stop(); });
    return;
  }
  traffic.After(kLeaveTick, [&traffic, &control, earliest, latest,
                             is_idle = std::move(is_idle)] {
    StopWhenIdle(traffic, control, is_idle, earliest, latest);
  });
}

}  // namespace

void OnLeave(EventLoop& control, EventLoop& traffic, Leave leave) {
  // Shared by all copies of the handler.
  const auto is_leaving = std::make_shared<bool>(false);
  control.OnTerminate(
      [&control, &traffic, leave = std::move(leave), is_leaving] {
        if (std::exchange(*is_leaving, true)) return control.Stop();
        Log(LogLevel::kInfo, "leaving_began");
        if (leave.announce) leave.announce();
        traffic.Post([&control, &traffic, leave] {
          const TimePoint now = Clock::now();
          leave.begin();
          StopWhenIdle(traffic, control, leave.is_idle, now + leave.earliest,
                       now + leave.latest);
        });
      });
}

void RunThreads(EventLoop& control, EventLoop& traffic) {
  traffic.StartThread();
  control.Run();
  Log(LogLevel::kInfo, "stopped");
  traffic.Join();
  EndProcess();
}

}  // namespace mangohold
