// A caller that sends its requests on one connection for as long as it lasts,
// and says how each call ended as far as a caller can see it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "net/http1_parser.h"

namespace mangohold::testing {

// What a caller saw of a call's end.
enum class CallEnd {
  kAnswered,      // with a whole answer
  kNotConnected,  // no connection stood
  kNotSent,       // not a byte of the request could be written
  kClosed,        // an orderly end before any byte of an answer
  kReset,         // a reset before any byte of an answer
  kTimedOut,      // nothing came in time
  kCut,           // an answer began and wasn't whole
  kCount
};
std::string_view Name(CallEnd end);

struct CallResult {
  CallEnd end = CallEnd::kNotConnected;
  int status = 0;  // of the answer's head; 0: none came
  std::string body;
  bool has_more = false;  // bytes came behind the answer
};

class KeptCaller : private Http1Sink {
 public:
  explicit KeptCaller(Duration timeout)
      : timeout_(timeout), parser_(Http1Parser::Kind::kResponse, *this) {}
  ~KeptCaller() override { Close(); }
  KeptCaller(const KeptCaller&) = delete;
  KeptCaller& operator=(const KeptCaller&) = delete;

  // Sends a request in HTTP/1.1 wire format to `address`, in these pieces.
  CallResult Call(const Endpoint& address,
                  const std::vector<std::string>& request);
  // The next call opens a connection of its own.
  void Close();

 private:
  void OnHead(Http1Head head) override;
  void OnBody(std::string_view data) override { result_.body.append(data); }
  void OnMessageEnd() override { is_whole_ = true; }

  bool Connect(const Endpoint& address);
  // Writes all; the number of bytes written.
  std::size_t Write(std::string_view data) const;
  CallEnd ReadAnswer();

  Duration timeout_;
  Http1Parser parser_;
  Endpoint address_;  // of the open connection
  int socket_ = -1;
  CallResult result_;  // of the call in progress
  bool is_interim_ = false;
  bool is_whole_ = false;
  bool stays_open_ = false;
};

}  // namespace mangohold::testing
