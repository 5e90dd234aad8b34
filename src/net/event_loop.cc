#include "net/event_loop.h"

#include <asio.hpp>
#include <csignal>
#include <cstdint>
#include <optional>
#include <thread>

namespace mangohold {
namespace {

void WaitForSignal(const std::shared_ptr<asio::signal_set>& signals,
                   const std::function<void()>& on_signal) {
  signals->async_wait(
      [signals, on_signal](const std::error_code& error, int /*number*/) {
        if (error) return;
        on_signal();
        WaitForSignal(signals, on_signal);
      });
}

}  // namespace

struct EventLoop::State {
  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard =
      asio::make_work_guard(io);
  std::thread thread;
};

EventLoop::EventLoop() : state_(std::make_unique<State>()) {}

EventLoop::~EventLoop() { Join(); }

void EventLoop::Join() {
  Stop();
  if (state_->thread.joinable()) state_->thread.join();
}

asio::io_context& EventLoop::io() { return state_->io; }

void EventLoop::StartThread() {
  state_->thread = std::thread([this] { state_->io.run(); });
}

void EventLoop::Run() { state_->io.run(); }

void EventLoop::Stop() { state_->io.stop(); }

void EventLoop::Post(std::function<void()> task) {
  asio::post(state_->io, std::move(task));
}

void EventLoop::After(Duration delay, std::function<void()> task) {
  auto timer = std::make_shared<asio::steady_timer>(state_->io, delay);
  timer->async_wait(
      [timer, task = std::move(task)](const std::error_code& error) {
        if (!error) task();
      });
}

void EventLoop::Every(Duration interval, std::function<void()> task) {
  After(interval, [this, interval, task = std::move(task)] {
    task();
    Every(interval, task);
  });
}

void EventLoop::OnTerminate(const std::function<void()>& on_signal) {
  const auto signals =
      std::make_shared<asio::signal_set>(state_->io, SIGTERM, SIGINT);
  WaitForSignal(signals, on_signal);
}

void EventLoop::OnHangUp(const std::function<void()>& on_signal) {
  WaitForSignal(std::make_shared<asio::signal_set>(state_->io, SIGHUP),
                on_signal);
}

struct Timer::State {
  explicit State(asio::io_context& io) : timer(io) {}
  asio::steady_timer timer;
  std::function<void()> task;
  // Tells a started task from one that replaced it.
  std::uint64_t generation = 0;
};

Timer::Timer(EventLoop& loop) : state_(std::make_shared<State>(loop.io())) {}

Timer::~Timer() { Cancel(); }

void Timer::Start(Duration delay, std::function<void()> task) {
  state_->task = std::move(task);
  const std::uint64_t generation = ++state_->generation;
  state_->timer.expires_after(delay);
  state_->timer.async_wait(
      [state = state_, generation](const std::error_code& error) {
        if (error || state->generation != generation) return;
        const auto pending = std::move(state->task);
        state->task = nullptr;
        if (pending) pending();
      });
}

void Timer::Cancel() {
  ++state_->generation;
  state_->task = nullptr;
  state_->timer.cancel();
}

}  // namespace mangohold
