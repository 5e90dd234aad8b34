// The messages between entries and agents. Each travels as one HTTP/2 header
// field with JSON text; requests' and answers' bytes travel as stream data.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "backend/admission.h"
#include "backend/ticket.h"
#include "config/tree.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/outcome.h"

namespace mangohold {

// The kinds of streams, as HTTP/2 paths.
inline constexpr std::string_view kTicketPath = "/ticket";
inline constexpr std::string_view kSubmitPath = "/submit";
inline constexpr std::string_view kVoidPath = "/void";
inline constexpr std::string_view kStatusPath = "/status";

// What an agent says about its backend server with each message. It lets
// entries see the room that is left without asking for it.
struct AgentStatus {
  InstanceId instance;
  Incarnation incarnation;
  int limit = 0;  // requests that may be in progress now
  int in_flight = 0;
  int queued = 0;
  int queue_limit = 0;
  std::int64_t mean_service_us = 0;
  bool is_cold = true;
  // New work is refused: leaving, zone out, or configuration not confirmed.
  bool is_closed = false;
};

struct TicketRequest {
  ServiceName service;
};

struct TicketReply {
  Reason reason = Reason::kNone;  // kNone: granted
  Millis retry_after{0};
  std::string ticket;
  AgentStatus status;
};

struct SubmitRequest {
  RequestId request;
  ServiceName service;
  WorkspaceName workspace;
  std::string method;
  std::string target;  // path with query
  std::string content_type;
  Millis deadline{0};  // time left
  Priority priority = Priority::kNormal;
  std::string ticket;  // empty for repeatable work
  // The sender decided by every change of the settings up to this one.
  Revision configuration_revision;
};

// The head of the answer to a submission.
struct SubmitReply {
  // kNone: the answer of the backend server follows.
  Reason reason = Reason::kNone;
  // With a reason: whether the request may have run all the same.
  bool may_have_run = false;
  Millis retry_after{0};
  int http_status = 0;
  std::string content_type;
  AgentStatus status;
};

// The trailer after the answer's bytes. An answer without it is broken off.
struct SubmitTrailer {
  bool is_complete = false;
  Reason reason = Reason::kNone;
  std::uint64_t body_bytes = 0;
  AgentStatus status;
};

struct VoidRequest {
  std::string ticket;
};

struct VoidReply {
  TicketState state = TicketState::kUnknown;
  AgentStatus status;
};

struct StatusRequest {
  InstanceId instance;
};

// The JSON text of a message, in ASCII so that it fits a header field.
template <typename Message>
std::string Encode(const Message& message);
// An invalid-argument status for a text that isn't such a message.
template <typename Message>
absl::StatusOr<Message> Decode(std::string_view text);

}  // namespace mangohold
