// One caller's HTTP/1.1 connection: reads requests one after the other and
// sends their answers, whole, as a stream, or cut off by a reset.
#pragma once

#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "config/deployment.h"
#include "core/clock.h"
#include "net/http1_parser.h"
#include "net/http_message.h"
#include "net/socket_reader.h"

namespace mangohold {

// A request as it was read, body included.
struct CallerMessage {
  std::string method;
  std::string target;
  HttpFields fields;
  std::string body;
  TimePoint arrived;  // by `BootNow`
};

// Belongs to the traffic thread. A request that is handed out is answered by
// exactly one of `Reply`, `EndStream` and `Abort`.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>,
                         private Http1Sink {
 public:
  using Ptr = std::shared_ptr<CallerConnection>;
  struct Host {
    // A whole request has been read.
    std::function<void(Ptr, CallerMessage)> on_request;
    // A request was refused before it could be handed out.
    std::function<void(int status)> on_refused;
    std::function<const CallerLimits&()> limits;
    // Answers ask callers to connect anew.
    std::function<bool()> closes_after_answer;
  };
  // What a request in progress hears of its caller.
  struct Listener {
    std::function<void()> on_gone;
    // The caller has taken what was written; see `is_congested`.
    std::function<void()> on_drained;
  };

  CallerConnection(asio::ip::tcp::socket socket, const Host& host);

  void Start();
  void SetListener(Listener listener) { listener_ = std::move(listener); }

  // Sends a whole answer.
  void Reply(int status, HttpFields fields, std::string_view body);
  // Sends the head of an answer to HEAD, whose length is that of the body that
  // GET would have had.
  void ReplyHead(int status, HttpFields fields, std::string_view length);
  // Starts an answer whose length isn't known.
  void BeginStream(int status, HttpFields fields);
  void WriteStream(std::string_view data);
  void EndStream();
  // Ends the connection so that the answer can't pass for complete.
  void Abort();
  // The caller takes bytes more slowly than they come.
  bool is_congested() const { return output_.size() > kCongestedBytes; }

  // Closes the connection if it has been idle, or has been sending a request,
  // for too long.
  void CloseIfOverdue(TimePoint now);
  // Closes the connection at once if no request is in progress, else with its
  // answer.
  void Retire();
  bool is_closed() const { return phase_ == Phase::kClosed; }
  // A part of a request has been read.
  bool is_reading() const { return phase_ == Phase::kReading; }
  // The caller is still to be sent bytes of an answer that is complete here.
  bool has_unwritten() const {
    const bool is_answering =
        phase_ == Phase::kAnswering || phase_ == Phase::kClosed;
    return !is_answering && !(writing_.empty() && output_.empty());
  }

 private:
  enum class Phase { kIdle, kReading, kAnswering, kLingering, kClosed };
  static constexpr std::size_t kCongestedBytes = 256U << 10U;
  static constexpr std::size_t kMostAhead = 64U << 10U;

  void OnHead(Http1Head head) override;
  void OnBody(std::string_view data) override;
  void OnMessageEnd() override;

  void Read();
  void OnRead(const std::error_code& error, std::string_view bytes);
  void Parse();
  bool IsRequestBad();
  void RefuseAndClose(int status);
  void AddConnectionFields(HttpFields& fields);
  void Send(std::string_view data);
  void WriteNext();
  void OnWritten(const std::error_code& error);
  void EndAnswer();
  void Close();
  void Drop();

  asio::ip::tcp::socket socket_;
  const Host& host_;
  Http1Parser parser_;
  Listener listener_;
  Phase phase_ = Phase::kIdle;
  TimePoint phase_began_;
  std::string input_;  // read and not yet parsed
  SocketReader reader_;
  std::string output_;     // to be written
  std::string writing_;    // being written
  CallerMessage message_;  // being read
  int refusal_ = 0;        // status that the message in progress calls for
  bool has_whole_message_ = false;
  bool keeps_alive_ = true;
  bool closes_ = false;  // with the answer in progress
};

}  // namespace mangohold
