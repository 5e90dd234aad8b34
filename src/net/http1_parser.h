// An incremental parser of HTTP/1.1 messages. The http_parser library stays
// behind this header.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "net/http_message.h"

namespace mangohold {

struct Http1Head {
  std::string method;  // of a request
  std::string target;  // of a request
  int status = 0;      // of a response
  HttpFields fields;
  bool keeps_alive = false;  // the connection can take another message
  bool has_length = false;   // the body's length is stated
};

// Receives what a parser finds. Calls come from inside `Feed`.
class Http1Sink {
 public:
  virtual ~Http1Sink() = default;
  virtual void OnHead(Http1Head head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  // The message is whole. The parser stops behind it.
  virtual void OnMessageEnd() = 0;
};

class Http1Parser {
 public:
  enum class Kind { kRequest, kResponse };

  Http1Parser(Kind kind, Http1Sink& sink);
  ~Http1Parser();
  Http1Parser(const Http1Parser&) = delete;
  Http1Parser& operator=(const Http1Parser&) = delete;

  // Parses up to the end of the message in progress and returns the number of
  // bytes used. Bytes that are no HTTP/1.1 make it fail for good.
  std::size_t Feed(std::string_view data);
  // The connection ended. Completes a message that ends with it; returns false
  // if the message in progress is cut short.
  bool FinishAtEnd();
  // Begins with a new message. `has_no_body` is for responses to HEAD.
  void Reset(bool has_no_body = false);

  bool has_failed() const;
  // A message has begun and isn't whole.
  bool is_in_message() const;
  bool has_head() const;
  // Bytes of the head in progress.
  std::size_t head_bytes() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace mangohold
