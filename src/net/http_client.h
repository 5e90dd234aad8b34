// An HTTP/1.1 client on one event loop. libcurl stays behind this header.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/ids.h"
#include "net/http_message.h"

namespace asio {
class io_context;
}

namespace mangohold {

// One call to a server.
struct HttpCall {
  std::string method = "GET";
  std::string url;
  HttpFields fields;
  std::string body;
  Duration connect_timeout = std::chrono::seconds(2);
  Duration timeout = std::chrono::seconds(30);
  // Opens a connection of its own. A call that must not run twice needs this:
  // libcurl sends a request again when a reused connection turns out to be
  // closed, although the server may have read it.
  bool fresh_connection = false;
};

// How a call ended.
enum class HttpResult {
  kComplete,  // the whole response arrived
  kNotSent,   // no byte of the request left this process
  kTimedOut,  // the time was up: the server may have acted on the request
  kBroken     // anything else: the server may have acted on the request
};

struct HttpHandlers {
  std::function<void(int status, const HttpFields& fields)> on_head;
  std::function<void(std::string_view data)> on_data;
  std::function<void(HttpResult result)> on_done;
};

using HttpCallId = Number<struct HttpCallIdTag>;

// All calls belong to the event loop's thread.
class HttpClient {
 public:
  explicit HttpClient(asio::io_context& io);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  HttpCallId Start(HttpCall call, HttpHandlers handlers);
  // Drops the call; none of its handlers is called again.
  void Cancel(HttpCallId id);
  // Stops and resumes reading of the response.
  void Pause(HttpCallId id);
  void Resume(HttpCallId id);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

// A whole response as plain data.
struct HttpResponse {
  HttpResult result = HttpResult::kNotSent;
  int status = 0;
  HttpFields fields;
  std::string body;
};

// Starts `call` and gives the whole response to `on_response`.
HttpCallId Fetch(HttpClient& client, HttpCall call,
                 std::function<void(HttpResponse)> on_response);
// Runs `call` to its end on an event loop of its own; for command-line tools.
HttpResponse FetchAndWait(HttpCall call);

}  // namespace mangohold
