// Monitors one backend server through its load reports and an idle connection,
// to detect restarts, after which the server is cold, and its draining.
#pragma once

#include <functional>
#include <string>

#include "core/clock.h"
#include "core/counters.h"
#include "core/ids.h"
#include "net/connection_watch.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace mangohold {

// The parts of a backend server's load report that an agent uses. The reported
// load is ignored because it lags; all requests pass through the agent, whose
// own count is exact.
struct BackendReport {
  Incarnation boot;  // changes whenever the server becomes cold
  bool is_leaving = false;
};

class BackendMonitor {
 public:
  struct Options {
    std::string url;  // of the backend server
    Duration interval = std::chrono::milliseconds(500);  // between reports
    // Delay before the watched connection is opened again.
    Duration reconnect = std::chrono::milliseconds(100);
  };
  struct Handlers {
    std::function<void()> on_cold;       // it restarted or is unreachable
    std::function<void()> on_suspect;    // it may have restarted
    std::function<void()> on_same_boot;  // a report shows no restart
    std::function<void()> on_leaving;
  };

  BackendMonitor(EventLoop& loop, HttpClient& http, Options options,
                 Handlers handlers, Counters& counters);

  void Start();
  // Requests a report at once, after a failure.
  void CheckNow() { Poll(); }

 private:
  void Poll();
  void OnConnectionLost();
  void OnResponse(const HttpResponse& response);

  EventLoop& loop_;
  HttpClient& http_;
  Options options_;
  Handlers handlers_;
  Counters& counters_;
  ConnectionWatch watch_;
  Incarnation boot_;
  bool is_polling_ = false;
};

}  // namespace mangohold
