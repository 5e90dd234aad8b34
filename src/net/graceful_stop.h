// The run and the graceful leave of daemons with a control and a traffic
// thread. A process that leaves owes an answer to each request that it has
// read:
//
// 1. At SIGTERM it says that it leaves, and asks callers to connect elsewhere.
// 2. For a time it still takes requests, from callers with an old address list.
// 3. What can't be sent on in time is refused early, while callers can still
//    repeat it elsewhere.
// 4. It ends once it owes nothing. Before it would be killed, it ends the
//    requests that are still in progress with the true word, and then leaves
//    time for writing the answers.
#pragma once

#include <functional>

#include "core/clock.h"
#include "net/event_loop.h"

namespace mangohold {

// What a process owes its callers, by kind.
struct OwedAnswers {
  int reading = 0;    // requests of which a part has been read
  int waiting = 0;    // requests that no backend server has now
  int sent = 0;       // requests at a backend server, nothing passed on so far
  int begun = 0;      // answers of which a part was passed on
  int unwritten = 0;  // connections with bytes that are still to be written

  int total() const { return reading + waiting + sent + begun + unwritten; }
};

// The times of a leave, after the signal.
struct LeaveSchedule {
  Duration take_until{0};    // new requests are taken
  Duration wait_until{0};    // requests wait for a backend server
  Duration answer_until{0};  // then those in progress are ended
  Duration end{0};           // of the process
};

// The schedule of a process that is killed `grace` after the signal. It takes
// requests for at most `max_take`.
LeaveSchedule MakeLeaveSchedule(Duration grace, Duration max_take);

// How a process leaves at SIGTERM.
struct Leave {
  // Says on the control thread that it leaves, so that others stop sending;
  // may be absent.
  std::function<void()> announce;
  // Begins to leave on the traffic thread; `now` is by `BootNow`.
  std::function<void(TimePoint now)> begin;
  // The rest on the traffic thread.
  std::function<void()> stop_taking;  // at `take_until`; may be absent
  // Ends the requests in progress, each with the true word, at `answer_until`.
  std::function<void()> end_requests;
  std::function<OwedAnswers()> owed;
  LeaveSchedule schedule;
};

// Leaves at the first SIGTERM. A second one ends the requests in progress and
// then the process.
void OnLeave(EventLoop& control, EventLoop& traffic, Leave leave);

// Runs `traffic` on a thread of its own and `control` on this one until it is
// stopped, and ends the process.
[[noreturn]] void RunThreads(EventLoop& control, EventLoop& traffic);

}  // namespace mangohold
