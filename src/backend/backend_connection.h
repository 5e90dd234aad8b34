// A persistent HTTP/1.1 connection to a backend server. It carries one request
// at a time, without pipelining.
#pragma once

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/ids.h"
#include "net/http1_parser.h"
#include "net/http_message.h"
#include "net/socket_reader.h"

namespace mangohold {

// How far an exchange got that failed before its response was complete.
enum class ExchangeFailure {
  kNotSent,  // no byte was sent: the backend server can't have seen the request
  kBroken,   // the request may have been executed
  kNoAnswer  // what came is no answer to it; it may have been executed
};

// Receives the events of one exchange with a backend server. OnBackendEnd or
// OnBackendFailure is the last call.
class BackendListener {
 public:
  virtual ~BackendListener() = default;
  // Called when a new connection is established, right before the request is
  // sent. False fails the exchange as kNotSent.
  virtual bool IsStillWanted() const = 0;
  // Whether a response head belongs to this request. False discards that
  // response and waits for the next one on the connection.
  virtual bool IsOwnResponse(int status, const HttpFields& fields) const = 0;
  virtual void OnBackendHead(int status, const HttpFields& fields) = 0;
  virtual void OnBackendBody(std::string_view data) = 0;
  // The response is complete.
  virtual void OnBackendEnd() = 0;
  virtual void OnBackendFailure(ExchangeFailure failure) = 0;
};

// To be used on the traffic thread only.
class BackendConnection
    : public std::enable_shared_from_this<BackendConnection>,
      private Http1Sink {
 public:
  using Ptr = std::shared_ptr<BackendConnection>;
  struct Exchange {
    RequestId id;
    std::string request;  // in HTTP/1.1 wire format, without its body
    // Shared, so that a body that is kept for a retry isn't copied. May be
    // null.
    std::shared_ptr<const std::string> body;
    bool is_head = false;  // a HEAD request: responses have no body
    std::shared_ptr<BackendListener> listener;
  };

  // `on_closed` is called once when the connection closes.
  BackendConnection(asio::io_context& io, const Endpoint& endpoint,
                    std::function<void()> on_closed);

  // Sends a request, after connecting if the connection is new.
  void Send(Exchange exchange);
  // Cancels the request in progress by closing the connection. The listener
  // gets no further call.
  void Cancel();
  // Stops and resumes reading of the response in progress.
  void Pause();
  void Resume();

  // True if the connection can take another request at `now`.
  bool IsReusable(TimePoint now) const;
  bool is_open() const { return phase_ != Phase::kClosed; }
  // True if the request was sent on this connection recently. A late copy of
  // its earlier response couldn't be told from the response to a repeat.
  bool HasCarried(const RequestId& id) const;
  // Requests sent on this connection before the one in progress, or the last.
  int earlier_requests() const { return std::max(0, requests_ - 1); }
  // How long it had been idle when that one was sent.
  Duration idle_before() const { return idle_before_; }
  // What has come since the request was sent and is no answer to it.
  std::size_t stray_bytes() const { return stray_bytes_; }
  int stray_responses() const { return stray_responses_; }

 private:
  enum class Phase { kNew, kConnecting, kBusy, kIdle, kClosed };

  void OnHead(Http1Head head) override;
  void OnBody(std::string_view data) override;
  void OnMessageEnd() override;

  void Connect();
  void Write();
  void Read();
  void OnRead(const std::error_code& error, std::string_view bytes);
  void Consume(std::string_view data);
  void FinishResponse();
  // Counts a part of a response that is not for this request. False if there
  // is too much of it.
  bool TakeStray(std::size_t bytes);
  void Fail();
  void FailWith(ExchangeFailure failure);
  void Close();

  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  Endpoint endpoint_;
  std::function<void()> on_closed_;
  Http1Parser parser_;
  Phase phase_ = Phase::kNew;
  Exchange exchange_;
  SocketReader reader_;
  bool may_have_sent_ = false;     // any byte of the request
  bool has_sent_request_ = false;  // the whole request
  bool is_paused_ = false;
  bool is_foreign_ = false;  // the current response is not for this request
  bool is_interim_ = false;  // the current response has a 1xx status
  bool has_head_ = false;    // of the response to this request
  std::size_t stray_bytes_ = 0;
  int stray_responses_ = 0;
  bool is_message_complete_ = false;  // set by the parser
  bool keeps_alive_ = true;
  TimePoint idle_since_;
  Duration idle_before_{0};
  int requests_ = 0;
  Millis idle_timeout_{0};
  std::deque<RequestId> carried_;  // the latest ones
};

}  // namespace mangohold
