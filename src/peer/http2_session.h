// HTTP/2 streams between the system's own processes: nghttp2 driven by Asio,
// prior knowledge, no TLS. Flow control runs from end to end: received bytes
// stay in the window until `Consume`, and a sender sees how much is queued.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "core/clock.h"
#include "core/ids.h"
#include "net/http_message.h"

namespace asio {
class io_context;
}

namespace mangohold {

class Http2Session;

// What the owner of a stream wants to hear. After `on_broken` nothing more is
// called.
struct Http2Handlers {
  std::function<void(HttpFields head)> on_head;
  // The receiver must give each byte back with `Consume`, at once or later.
  std::function<void(std::string_view data)> on_data;
  // The peer has sent everything; `trailers` may be empty.
  std::function<void(HttpFields trailers)> on_end;
  // The stream was reset or its connection was lost before the peer's end, or
  // before this side's bytes had all been sent.
  std::function<void()> on_broken;
  // The bytes queued for sending have fallen below the low-water mark.
  std::function<void()> on_writable;
};

// The header field that carries a message between the system's processes.
inline constexpr std::string_view kMessageField = "mh-message";

// One stream. All calls belong to the session's event loop.
class Http2Stream {
 public:
  // A sender should pause above this many queued bytes.
  static constexpr std::size_t kHighWaterBytes = 64U << 10U;
  // `on_writable` is called when the queue falls to this many bytes.
  static constexpr std::size_t kLowWaterBytes = 16U << 10U;

  struct Impl;

  explicit Http2Stream(std::unique_ptr<Impl> impl);
  ~Http2Stream();
  Http2Stream(const Http2Stream&) = delete;
  Http2Stream& operator=(const Http2Stream&) = delete;

  void SetHandlers(Http2Handlers handlers);
  // Sends the head of a response; for the accepting side only.
  void SendHead(const HttpFields& fields);
  void SendData(std::string_view data);
  // Ends this side's bytes, with trailers if there are any.
  void SendEnd(HttpFields trailers = {});
  // Gives up the stream at once; no handler is called afterwards.
  void Reset();
  // Reopens the peer's window by `size` bytes that have been dealt with.
  void Consume(std::size_t size);
  std::size_t queued_bytes() const;
  bool is_open() const;

 private:
  friend class Http2Session;
  std::unique_ptr<Impl> impl_;
};

using Http2StreamPtr = std::shared_ptr<Http2Stream>;

// One connection with its streams.
class Http2Session {
 public:
  struct Impl;
  // Called for each stream that the peer opens, before its head is complete.
  using OnStream = std::function<void(Http2StreamPtr)>;

  explicit Http2Session(std::shared_ptr<Impl> impl);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  // Opens a stream with a request's pseudo-fields and fields. Returns null if
  // the connection has closed.
  Http2StreamPtr Open(const HttpFields& head, Http2Handlers handlers);
  bool is_open() const;
  // Called once when the connection has closed, after its streams broke.
  void SetOnClosed(std::function<void()> on_closed);
  void Close();

 private:
  std::shared_ptr<Impl> impl_;
};

using Http2SessionPtr = std::shared_ptr<Http2Session>;

// Connects to `endpoint`. `on_result` gets the session or a null pointer.
void ConnectHttp2(asio::io_context& io, const Endpoint& endpoint,
                  Duration timeout,
                  std::function<void(Http2SessionPtr)> on_result);

// Accepts sessions on one address.
class Http2Server {
 public:
  Http2Server(asio::io_context& io, Http2Session::OnStream on_stream);
  ~Http2Server();
  Http2Server(const Http2Server&) = delete;
  Http2Server& operator=(const Http2Server&) = delete;

  absl::Status Listen(const Endpoint& endpoint);
  void StopListening();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace mangohold
