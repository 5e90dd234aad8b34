// One submission that an agent is dealing with, and the relay of its answer.
#pragma once

#include <memory>
#include <string>

#include "backend/gate.h"
#include "core/clock.h"
#include "net/http_client.h"
#include "peer/http2_session.h"
#include "peer/messages.h"

namespace mangohold {

// The state of one submission between its arrival and its last byte.
struct Job {
  WorkId id;
  Http2StreamPtr stream;  // null once the sender has gone
  SubmitRequest request;
  std::string body;
  TimePoint deadline;
  bool is_running = false;
  HttpCallId call;  // 0 while there is none
  // The answer so far.
  int http_status = 0;
  std::string content_type;
  bool has_head = false;
  bool is_framed = false;  // the answer's end can be told from a broken link
  std::uint64_t body_bytes = 0;
  std::string stored_body;  // the answer's bytes, while they may be kept

  bool has_ticket() const { return !request.ticket.empty(); }
};

}  // namespace mangohold
