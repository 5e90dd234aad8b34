// What is counted and logged of callers' connections: requests refused while
// they were read, and connections that ended with something in progress, which
// shows whether a caller can take a request for unread that was passed on.
#pragma once

#include <cstddef>
#include <string_view>

#include "core/counters.h"
#include "core/outcome.h"

namespace mangohold {

// Why a caller's connection ended.
enum class ConnectionEnd {
  kCallerClosed,  // by the caller, or the connection broke
  kEvicted,       // others needed the memory
  kAborted,       // its answer can't be completed
  kOverdue,       // idle, or without progress, for too long
  kLeaving,
  kSurplus,  // there were too many connections
  kCount
};
std::string_view Name(ConnectionEnd cause);

// The end of a connection with something unread, unanswered or unwritten.
struct UnfinishedEnd {
  ConnectionEnd cause = ConnectionEnd::kCallerClosed;
  std::size_t request_bytes = 0;  // read of the last request
  bool was_handed_out = false;
  bool was_answered = false;  // its answer was complete here
  std::size_t unwritten_bytes = 0;
  std::size_t ahead_bytes = 0;  // came behind the request and are dropped
  // The caller sees a reset instead of an orderly end.
  bool is_reset = false;
};

void ReportUnfinished(const UnfinishedEnd& end, Counters& counters);

// A request that is refused before it can be handed out.
struct RefusedRead {
  Reason reason = Reason::kNone;
  int status = 0;
  std::size_t body_bytes = 0;  // read of its body
  std::size_t held_bytes = 0;  // by all connections and requests
};

void ReportRefused(const RefusedRead& refused, Counters& counters);

}  // namespace mangohold
