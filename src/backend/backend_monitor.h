// Watches one backend server: its load reports, its boot id, and whether it is
// still the process that proved its warmth.
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

// What an agent takes from a backend server's own report, which lags. The load
// in it is not needed: all work passes the agent, whose own count is exact.
struct BackendReport {
  Incarnation boot;  // changes whenever the server loses its warmth
  bool is_leaving = false;
};

class BackendMonitor {
 public:
  struct Options {
    std::string url;  // of the backend server
    Duration interval = std::chrono::milliseconds(500);
    Duration reconnect = std::chrono::milliseconds(100);
  };
  struct Handlers {
    std::function<void()> on_cold;       // the server lost its warmth
    std::function<void()> on_suspect;    // it may have lost it
    std::function<void()> on_same_boot;  // it has not
    std::function<void()> on_leaving;
  };

  BackendMonitor(EventLoop& loop, HttpClient& http, Options options,
                 Handlers handlers, Counters& counters);

  void Start();
  // Asks for a report now, because something failed.
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
