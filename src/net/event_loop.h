// One thread with its event loop. A process has one for control state and one
// for traffic; they exchange immutable snapshots by posting to each other.
#pragma once

#include <functional>
#include <memory>

#include "core/clock.h"
#include "core/scheduler.h"

namespace asio {
class io_context;
}

namespace mangohold {

class EventLoop : public Scheduler {
 public:
  EventLoop();
  ~EventLoop() override;  // joins
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  asio::io_context& io();
  // Runs the loop on a thread of its own.
  void StartThread();
  // Runs the loop on the calling thread until `Stop`.
  void Run();
  // Ends `Run`; safe from any thread.
  void Stop();
  // Stops the loop and waits for its thread, so that nothing runs on it any
  // more.
  void Join();
  // Queues `task` for the loop's thread; safe from any thread.
  void Post(std::function<void()> task);
  TimePoint Now() const override { return BootNow(); }
  // Runs `task` on the loop's thread after `delay`.
  void After(Duration delay, std::function<void()> task) override;
  // Runs `task` at each `interval` until the loop ends.
  void Every(Duration interval, std::function<void()> task);
  // Calls `on_signal` on the loop's thread at each SIGTERM and SIGINT.
  void OnTerminate(const std::function<void()>& on_signal);
  // Calls `on_signal` on the loop's thread at each SIGHUP.
  void OnHangUp(const std::function<void()>& on_signal);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// One delayed task on a loop's thread. Destroying the timer cancels it.
class Timer {
 public:
  explicit Timer(EventLoop& loop);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Replaces the task that is pending, if any.
  void Start(Duration delay, std::function<void()> task);
  void Cancel();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace mangohold
