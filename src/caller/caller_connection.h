// One caller's HTTP/1.1 connection: reads requests one after the other and
// sends their answers, whole, as a stream, or cut off by a reset.
#pragma once

#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "caller/connection_reports.h"
#include "config/deployment.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/outcome.h"
#include "net/http1_parser.h"
#include "net/http_message.h"
#include "net/memory_budget.h"
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
    std::function<const CallerLimits&()> limits;
    // Answers ask callers to connect anew.
    std::function<bool()> closes_after_answer;
    MemoryBudget& memory;
    Counters& counters;
  };
  // What a request in progress hears of its caller.
  struct Listener {
    std::function<void()> on_gone;
    // The caller has taken what was written; see `is_congested`.
    std::function<void()> on_drained;
  };

  CallerConnection(asio::ip::tcp::socket socket, const Host& host);

  // Makes room for the connection itself; false if there is none, and the
  // connection must not start.
  bool HasRoom();
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

  // Closes the connection if it has been idle, or has made no progress with a
  // request, for too long.
  void CloseIfOverdue(TimePoint now);
  // Closes the connection at once if no request is in progress, else with its
  // answer.
  void Retire();
  // Closes the connection.
  void Close(ConnectionEnd cause);
  // No part of a request is in progress, and all is written.
  bool is_idle() const { return phase_ == Phase::kIdle && is_written(); }
  // When it became idle, or when its request last made progress.
  TimePoint phase_began() const { return phase_began_; }
  bool is_closed() const { return phase_ == Phase::kClosed; }
  // A part of a request has been read.
  bool is_reading() const { return phase_ == Phase::kReading; }
  // The caller is still to be sent bytes of an answer that is complete here.
  bool has_unwritten() const {
    const bool is_answering =
        phase_ == Phase::kAnswering || phase_ == Phase::kClosed;
    return !is_answering && !is_written();
  }

 private:
  enum class Phase { kIdle, kReading, kAnswering, kLingering, kClosed };
  static constexpr std::size_t kCongestedBytes = 256U << 10U;
  static constexpr std::size_t kMostAhead = 16U << 10U;

  void OnHead(Http1Head head) override;
  void OnBody(std::string_view data) override;
  void OnMessageEnd() override;

  void Read();
  void OnRead(const std::error_code& error, std::string_view bytes);
  void Parse();
  bool CanParse() const {
    return phase_ == Phase::kIdle || phase_ == Phase::kReading;
  }
  std::size_t Feed(std::string_view data);
  void OnFed();
  void FindFault();
  void Refuse(Reason reason, int status);
  void ReportRefusal(Reason reason, int status);
  void RefuseAndClose(Reason reason, int status);
  void ReserveBody(std::size_t bytes);
  bool HoldBody(std::size_t bytes);
  void UpdateHeld();
  void OnEvicted(Eviction reason);
  void AddConnectionFields(HttpFields& fields);
  void Send(std::string_view data);
  void WriteNext();
  void OnWritten(const std::error_code& error);
  bool is_written() const { return writing_.empty() && output_.empty(); }
  void EndAnswer();
  void Drop(ConnectionEnd cause);
  void ReportEnd(ConnectionEnd cause) const;
  void Free();

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
  // What the message in progress calls for; 0: nothing.
  int refusal_ = 0;
  Reason refusal_reason_ = Reason::kNone;
  std::size_t request_bytes_ = 0;  // read of the message in progress
  bool is_handed_out_ = false;     // the message in progress
  std::size_t discarded_ = 0;      // bytes that came behind the last answer
  std::size_t declared_ = 0;       // the length of the body; 0: not stated
  std::size_t progress_ = 0;       // bytes of the body at the last progress
  MemoryBudget::Holder held_;
  bool has_whole_message_ = false;
  bool keeps_alive_ = true;
  bool closes_ = false;  // with the answer in progress
};

}  // namespace mangohold
