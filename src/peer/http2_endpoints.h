// The two ends of HTTP/2 connections: connecting to an address, and accepting
// on one.
#pragma once

#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "core/clock.h"
#include "core/ids.h"
#include "peer/http2_session.h"

namespace asio {
class io_context;
}

namespace mangohold {

// Connects to `endpoint`. `on_result` gets the session, or null on an error or
// after `timeout`.
void ConnectHttp2(asio::io_context& io, const Endpoint& endpoint,
                  Duration timeout,
                  std::function<void(Http2SessionPtr)> on_result);

// Accepts HTTP/2 connections on one address.
class Http2Server {
 public:
  Http2Server(asio::io_context& io, Http2Session::OnStream on_stream);
  ~Http2Server();
  Http2Server(const Http2Server&) = delete;
  Http2Server& operator=(const Http2Server&) = delete;

  // Connections beyond `limit` are closed at once, and `on_refused` is called
  // for each; 0: no limit.
  void SetConnectionLimit(int limit, std::function<void()> on_refused);
  // Returns an invalid-argument status for a malformed endpoint and an
  // unavailable status if the address can't be bound.
  absl::Status Listen(const Endpoint& endpoint);
  void StopListening();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace mangohold
