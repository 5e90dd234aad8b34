// HTTP/2 streams between the system's own processes: nghttp2 on Asio sockets,
// cleartext with prior knowledge, no TLS. Flow control is end to end: received
// bytes count against the window until `Consume`, and a sender can read the
// size of its send queue.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/http_message.h"

namespace mangohold {

class Http2Session;

// The callbacks of a stream; each may be empty. No callback follows
// `on_broken`.
struct Http2Handlers {
  std::function<void(HttpFields head)> on_head;
  // The receiver must pass the size to `Consume`, at once or later, to reopen
  // the window.
  std::function<void(std::string_view data)> on_data;
  // The peer has ended its side; `trailers` may be empty.
  std::function<void(HttpFields trailers)> on_end;
  // The stream was reset or its connection was lost before the peer's end, or
  // before this side's bytes had all been sent.
  std::function<void()> on_broken;
  // The send queue has shrunk from above the low-water mark to it or below.
  std::function<void()> on_writable;
};

// The header field that carries a message between the system's processes.
inline constexpr std::string_view kMessageField = "mh-message";

// One stream. To be used on the session's event loop only.
class Http2Stream {
 public:
  // A sender should pause while more bytes than this are queued.
  static constexpr std::size_t kHighWaterBytes = 64U << 10U;
  // `on_writable` is called when the queue falls to this many bytes.
  static constexpr std::size_t kLowWaterBytes = 16U << 10U;

  struct Impl;

  explicit Http2Stream(std::unique_ptr<Impl> impl);
  ~Http2Stream();
  Http2Stream(const Http2Stream&) = delete;
  Http2Stream& operator=(const Http2Stream&) = delete;

  void SetHandlers(Http2Handlers handlers);
  // Sends the head of a response; on the accepting side only.
  void SendHead(const HttpFields& fields);
  // Appends to the send queue. Ignored after SendEnd or once the stream closed.
  void SendData(std::string_view data);
  // Ends this side of the stream, with trailers if `trailers` isn't empty.
  void SendEnd(HttpFields trailers = {});
  // Resets the stream with CANCEL; no handler is called afterwards.
  void Reset();
  // Reopens the peer's window by `size` received bytes that were processed.
  void Consume(std::size_t size);
  std::size_t queued_bytes() const;
  bool is_open() const;

 private:
  friend class Http2Session;
  std::unique_ptr<Impl> impl_;
};

using Http2StreamPtr = std::shared_ptr<Http2Stream>;

// One HTTP/2 connection with its streams. The destructor closes it.
class Http2Session {
 public:
  struct Impl;
  // Called for each stream that the peer opens, before its head is complete.
  using OnStream = std::function<void(Http2StreamPtr)>;

  explicit Http2Session(std::shared_ptr<Impl> impl);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  // Opens a stream with a request head, pseudo-header fields included. Returns
  // null if the connection has closed or nghttp2 refuses the stream.
  Http2StreamPtr Open(const HttpFields& head, Http2Handlers handlers);
  bool is_open() const;
  // Sets a callback for the closing of the connection. It is called once, after
  // `on_broken` of its streams.
  void SetOnClosed(std::function<void()> on_closed);
  void Close();

 private:
  std::shared_ptr<Impl> impl_;
};

using Http2SessionPtr = std::shared_ptr<Http2Session>;

}  // namespace mangohold
