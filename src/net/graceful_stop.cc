#include "net/graceful_stop.h"

#include <algorithm>
#include <memory>
#include <string_view>
#include <utility>

#include "core/daemon.h"
#include "core/log.h"

namespace mangohold {
namespace {

// How often a leaving process looks whether it owes anything.
constexpr Duration kLeaveTick = std::chrono::milliseconds(50);
// The end of the process before it would be killed, and the end of its requests
// before that: at most this long, and at most this part of the grace period.
constexpr Duration kMaxMargin = std::chrono::milliseconds(300);
constexpr int kMarginPart = 16;
// Part of the grace period in which new requests are taken.
constexpr double kTakePart = 0.35;

void LogOwed(std::string_view event, const OwedAnswers& owed) {
  Log(LogLevel::kInfo, event,
      {{"reading", owed.reading},
       {"waiting", owed.waiting},
       {"sent", owed.sent},
       {"begun", owed.begun},
       {"unwritten", owed.unwritten}});
}

// One leave, from the signal to the end. Belongs to the traffic thread.
class Leaver : public std::enable_shared_from_this<Leaver> {
 public:
  Leaver(EventLoop& control, EventLoop& traffic, Leave leave)
      : control_(control), traffic_(traffic), leave_(std::move(leave)) {}

  void Begin() {
    began_ = BootNow();
    leave_.begin(began_);
    Tick();
  }

  // Ends without waiting for requests.
  void Hurry() {
    leave_.schedule.take_until = Duration(0);
    leave_.schedule.answer_until = Duration(0);
    leave_.schedule.end = BootNow() - began_ + kMaxMargin;
  }

 private:
  void Tick() {
    const Duration spent = BootNow() - began_;
    const LeaveSchedule& schedule = leave_.schedule;
    if (spent >= schedule.take_until && !std::exchange(has_closed_, true)) {
      if (leave_.stop_taking) leave_.stop_taking();
    }
    if (spent >= schedule.answer_until && !std::exchange(has_ended_, true)) {
      LogOwed("leaving_requests_ended", leave_.owed());
      leave_.end_requests();
    }
    const OwedAnswers owed = leave_.owed();
    const bool is_done = has_closed_ && owed.total() == 0;
    const auto self = shared_from_this();
    if (is_done || spent >= schedule.end) {
      LogOwed("leaving_ended", owed);
      // Answers that were just written leave the process first.
      return traffic_.After(kLeaveTick, [self] { self->control_.Stop(); });
    }
    traffic_.After(kLeaveTick, [self] { self->Tick(); });
  }

  EventLoop& control_;
  EventLoop& traffic_;
  Leave leave_;
  TimePoint began_;
  bool has_closed_ = false;
  bool has_ended_ = false;
};

}  // namespace

LeaveSchedule MakeLeaveSchedule(Duration grace, Duration max_take) {
  const Duration margin = std::min(kMaxMargin, grace / kMarginPart);
  LeaveSchedule schedule;
  schedule.end = grace - margin;
  schedule.answer_until = schedule.end - margin;
  schedule.take_until = std::min(
      max_take, std::chrono::duration_cast<Duration>(grace * kTakePart));
  schedule.wait_until = (schedule.take_until + schedule.answer_until) / 2;
  return schedule;
}

void OnLeave(EventLoop& control, EventLoop& traffic, Leave leave) {
  const auto announce = leave.announce;
  const auto leaver =
      std::make_shared<Leaver>(control, traffic, std::move(leave));
  // Shared by all copies of the handler.
  const auto is_leaving = std::make_shared<bool>(false);
  control.OnTerminate([&traffic, announce, leaver, is_leaving] {
    if (std::exchange(*is_leaving, true)) {
      return traffic.Post([leaver] { leaver->Hurry(); });
    }
    Log(LogLevel::kInfo, "leaving_began");
    if (announce) announce();
    traffic.Post([leaver] { leaver->Begin(); });
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
