// The client library for callers: it keeps the list of entry addresses, rotates
// over it, and resubmits so that a request that may not be repeated still runs
// at most once.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "core/random.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace mangohold {

// What a caller asks for.
struct ClientCall {
  ServiceName service;
  WorkspaceName workspace;
  std::string method = "POST";
  std::string path = "/";
  std::string content_type = "application/json";
  std::string body;
  std::string priority;  // empty: normal
  RequestId request;     // empty: chosen by the entry
  Millis deadline{30'000};
  // The caller knows that the work may be repeated, so no ticket is needed.
  bool is_repeatable = false;
};

// How it ended. The fields of the answer are set for kAnswered.
struct ClientResult {
  Outcome outcome = Outcome::kUnknown;
  std::string reason;  // empty for kAnswered
  Millis retry_after{0};
  int http_status = 0;
  std::string body;
  RequestId request;
  int submissions = 0;  // how often the request was sent
};

// All calls and callbacks belong to the event loop's thread.
class CallerClient {
 public:
  struct Options {
    std::vector<Endpoint> entries;  // addresses to start with
    std::uint64_t seed = 1;
    Duration connect_timeout = std::chrono::milliseconds(500);
  };

  CallerClient(EventLoop& loop, Options options);
  ~CallerClient();
  CallerClient(const CallerClient&) = delete;
  CallerClient& operator=(const CallerClient&) = delete;

  // Runs the call to its end. `on_data` gets the answer's bytes as they come;
  // null leaves them for the result's body.
  void Call(ClientCall call, std::function<void(std::string_view)> on_data,
            std::function<void(ClientResult)> on_result);

 private:
  struct Exchange;
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace mangohold
