// An HTTP/1.1 client on one event loop. libcurl stays behind this header.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/counters.h"
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
  // More came than the call takes: the server may have acted on the request.
  kTooLarge,
  kBroken  // anything else: the server may have acted on the request
};

struct HttpHandlers {
  std::function<void(int status, const HttpFields& fields)> on_head;
  std::function<void(std::string_view data)> on_data;
  std::function<void(HttpResult result)> on_done;
};

using HttpCallId = Number<struct HttpCallIdTag>;

// All calls belong to the event loop's thread. The heads of one call's answers,
// interim ones and trailers included, are bounded; the body is the caller's to
// bound. A connection isn't used again after a 429.
class HttpClient {
 public:
  // `counters`, if any, count what was too large; they have to outlive this.
  explicit HttpClient(asio::io_context& io, Counters* counters = nullptr);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  HttpCallId Start(HttpCall call, HttpHandlers handlers);
  // Drops the call; none of its handlers is called again.
  void Cancel(HttpCallId id);
  // Stops and resumes reading of the response.
  void Pause(HttpCallId id);
  void Resume(HttpCallId id);
  // Breaks off a call whose answer has more than `limit` bytes. Called from
  // inside its `on_data`; the call ends as kTooLarge.
  void RejectAsTooLarge(HttpCallId id, std::size_t limit);

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

// The most that the body of a response may hold.
struct MaxBody {
  std::size_t bytes = 0;
};

// What command-line tools take at the most.
inline constexpr MaxBody kMaxToolBody{64U << 20U};

// Starts `call` and gives the whole response to `on_response`. A larger body
// ends the call as kTooLarge; what came of it is dropped.
HttpCallId Fetch(HttpClient& client, HttpCall call, MaxBody max_body,
                 std::function<void(HttpResponse)> on_response);
// Runs `call` to its end on an event loop of its own; for command-line tools.
HttpResponse FetchAndWait(HttpCall call, MaxBody max_body = kMaxToolBody);

}  // namespace mangohold
