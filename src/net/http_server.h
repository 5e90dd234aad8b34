// An HTTP/1.1 server on one event loop. RESTinio stays behind this header.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/ids.h"
#include "net/http_message.h"
#include "net/memory_budget.h"

namespace asio {
class io_context;
}

namespace mangohold {

// One request in progress and the means to answer it. All calls belong to the
// server's event loop. An exchange that is dropped unanswered answers 500.
class HttpExchange {
 public:
  struct Impl;

  explicit HttpExchange(std::unique_ptr<Impl> impl);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // Makes room for `bytes` in all that the response holds, until it has been
  // written. False if there is none: they must not be held.
  bool HoldAnswer(std::size_t bytes);
  // Sends a whole response.
  void Reply(int status, const HttpFields& fields, std::string body);

  // Starts a response whose length isn't known yet.
  void StartStream(int status, const HttpFields& fields);
  // Sends a part of a started response. `on_written` is called once the
  // operating system has taken the bytes; until then a slow caller's bytes
  // count against its flow-control window.
  void Write(std::string data, std::function<void()> on_written);
  // Ends a started response.
  void Finish();

  // `on_closed` is called if the caller's connection closes before the
  // response has ended.
  void SetOnClosed(std::function<void()> on_closed);

 private:
  friend class HttpServer;
  std::unique_ptr<Impl> impl_;
};

class HttpServer {
 public:
  struct Options {
    Endpoint address;
    int max_connections = 4096;
    std::size_t max_body_bytes = 4U << 20U;
    std::size_t max_field_bytes = 16U << 10U;
    // What the requests of all connections may hold.
    MemoryBudget::Options memory = {};
    Counters* counters = nullptr;  // of refusals; may be null
    // A connection without a complete request for this long is closed.
    Duration idle_timeout = std::chrono::seconds(60);
    // A caller that takes no bytes for this long loses its connection.
    Duration write_timeout = std::chrono::seconds(30);
    // The longest time that a handler may take.
    Duration handler_timeout = std::chrono::minutes(30);
  };
  using Handler =
      std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

  // The options of a server that gets small requests only, such as health and
  // metrics.
  static Options SmallRequests(Endpoint address, int max_connections,
                               Counters& counters);

  // `handler` is called on `io`'s thread.
  HttpServer(asio::io_context& io, const Options& options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts to listen; an address in use is an unavailable status.
  absl::Status Listen();
  // Accepts no further connection; those that are open go on.
  void StopListening();
  // Responses go out with "Connection: close" from now on, so that callers
  // move their connections elsewhere.
  void CloseAfterReply();
  // Number of responses that are complete here and not yet written.
  int unwritten() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace mangohold
