// An idle connection that is held open to learn at once when the process at its
// other end dies: the operating system closes it then.
#pragma once

#include <functional>
#include <memory>

#include "core/clock.h"
#include "core/ids.h"
#include "net/event_loop.h"

namespace mangohold {

class ConnectionWatch {
 public:
  // `on_lost` is called whenever the connection closes or can't be opened. The
  // watch then connects again, after `retry`.
  ConnectionWatch(EventLoop& loop, const Endpoint& target, Duration retry,
                  std::function<void()> on_lost);
  ~ConnectionWatch();
  ConnectionWatch(const ConnectionWatch&) = delete;
  ConnectionWatch& operator=(const ConnectionWatch&) = delete;

  void Start();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace mangohold
