// One HTTP/1.1 connection to a backend server, which takes one request at a
// time.
#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
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

// What became of an exchange that didn't come to a whole answer.
enum class ExchangeFailure {
  kNotSent,  // no byte left: the backend server can't know of the request
  kBroken    // it may have run
};

// What a request hears of its exchange with a backend server.
class BackendListener {
 public:
  virtual ~BackendListener() = default;
  // Asked when a new connection stands, right before the request goes out.
  virtual bool IsStillWanted() const = 0;
  // Tells whether an answer's head belongs to the request.
  virtual bool IsOwnResponse(int status, const HttpFields& fields) const = 0;
  virtual void OnBackendHead(int status, const HttpFields& fields) = 0;
  virtual void OnBackendBody(std::string_view data) = 0;
  // The answer is whole.
  virtual void OnBackendEnd() = 0;
  virtual void OnBackendFailure(ExchangeFailure failure) = 0;
};

// Belongs to the traffic thread.
class BackendConnection
    : public std::enable_shared_from_this<BackendConnection>,
      private Http1Sink {
 public:
  using Ptr = std::shared_ptr<BackendConnection>;
  struct Exchange {
    std::string request;   // as it goes out
    bool is_head = false;  // answers have no body
    std::shared_ptr<BackendListener> listener;
  };

  // `on_closed` is called once when the connection closes.
  BackendConnection(asio::io_context& io, const Endpoint& endpoint,
                    std::function<void()> on_closed);

  // Connects first if the connection isn't open yet.
  void Send(Exchange exchange);
  // Gives the request in progress up by closing the connection; the listener
  // hears nothing more.
  void Cancel();
  // Stops and resumes reading of the answer.
  void Pause();
  void Resume();

  // True if the connection can take another request at `now`.
  bool IsReusable(TimePoint now) const;
  bool is_open() const { return phase_ != Phase::kClosed; }

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
  void Fail();
  void Close();

  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  Endpoint endpoint_;
  std::function<void()> on_closed_;
  Http1Parser parser_;
  Phase phase_ = Phase::kNew;
  Exchange exchange_;
  SocketReader reader_;
  bool may_have_sent_ = false;     // a byte of the request may have left
  bool has_sent_request_ = false;  // the whole request has left
  bool is_paused_ = false;
  bool is_foreign_ = false;  // the answer in progress is not for this request
  bool is_interim_ = false;  // a 1xx answer
  bool is_message_complete_ = false;  // the message in progress is whole
  bool keeps_alive_ = true;
  TimePoint idle_since_;
  Millis idle_timeout_{0};
};

}  // namespace mangohold
