// The messages between entries and agents. Each is sent as JSON text in one
// HTTP/2 header field; request and response bodies are sent as stream data.
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

// The HTTP/2 path of each kind of stream.
inline constexpr std::string_view kTicketPath = "/ticket";
inline constexpr std::string_view kSubmitPath = "/submit";
inline constexpr std::string_view kVoidPath = "/void";
inline constexpr std::string_view kStatusPath = "/status";

// The load of an agent's backend server. It is part of every reply, so that
// entries learn the free capacity without polling.
struct AgentStatus {
  InstanceId instance;
  Incarnation incarnation;
  int limit = 0;  // requests that may be in progress now
  int in_flight = 0;
  int queued = 0;
  int queue_limit = 0;
  std::int64_t mean_service_us = 0;
  bool is_cold = true;
  // New requests are refused: draining, zone out of service, or configuration
  // not confirmed.
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
  Millis deadline{0};  // time left when sent
  Priority priority = Priority::kNormal;
  std::string ticket;  // empty for an idempotent request
  // The configuration that the entry routed by, complete up to this revision.
  Revision configuration_revision;
};

// The head of the reply to a submission.
struct SubmitReply {
  // kNone: the response of the backend server follows, with a final status.
  Reason reason = Reason::kNone;
  // If refused: whether the request may have run nevertheless.
  bool may_have_run = false;
  Millis retry_after{0};
  int http_status = 0;
  std::string content_type;
  AgentStatus status;
};

// The trailer after the response body. A response without it is incomplete.
struct SubmitTrailer {
  bool is_complete = false;
  Reason reason = Reason::kNone;
  std::uint64_t body_bytes = 0;  // size of the response body
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
// Returns an invalid-argument status if the text isn't such a message.
template <typename Message>
absl::StatusOr<Message> Decode(std::string_view text);

}  // namespace mangohold
