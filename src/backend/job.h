// The state of one submission at an agent, and of the relay of its response.
#pragma once

#include <memory>
#include <string>

#include "backend/gate.h"
#include "core/clock.h"
#include "net/http_client.h"
#include "net/memory_budget.h"
#include "peer/http2_session.h"
#include "peer/messages.h"

namespace mangohold {

// Lives from the arrival of the submission until its response has ended.
struct Job {
  WorkId id;
  Http2StreamPtr stream;  // null once the stream has broken
  SubmitRequest request;
  std::string body;
  std::unique_ptr<MemoryBudget::Holder> held;  // for the body
  TimePoint deadline;
  bool is_running = false;
  HttpCallId call;  // 0 while no call to the backend server is in progress
  // The response as received so far.
  int http_status = 0;
  std::string content_type;
  bool has_head = false;
  bool is_framed = false;  // has a length or chunks that mark its end
  std::uint64_t body_bytes = 0;
  std::string stored_body;  // the body, up to the size that may be stored

  bool has_ticket() const { return !request.ticket.empty(); }
};

}  // namespace mangohold
