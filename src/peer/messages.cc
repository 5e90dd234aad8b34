#include "peer/messages.h"

#include "core/json_types.h"
#include "net/http_status.h"

namespace mangohold {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AgentStatus, instance,
                                                incarnation, limit, in_flight,
                                                queued, queue_limit,
                                                mean_service_us, is_cold,
                                                is_closed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TicketRequest, service)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TicketReply, reason,
                                                retry_after, ticket, status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SubmitRequest, request, service,
                                                workspace, method, target,
                                                content_type, deadline,
                                                priority, ticket,
                                                configuration_revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SubmitReply, reason,
                                                may_have_run, retry_after,
                                                http_status, content_type,
                                                status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SubmitTrailer, is_complete,
                                                reason, body_bytes, status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VoidRequest, ticket)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VoidReply, state, status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StatusRequest, instance)

namespace {

template <typename Message>
bool IsSound(const Message& /*message*/) {
  return true;
}

bool IsSound(const SubmitReply& reply) {
  return reply.reason != Reason::kNone || IsFinalStatus(reply.http_status);
}

}  // namespace

template <typename Message>
std::string Encode(const Message& message) {
  return nlohmann::json(message).dump(-1, ' ', /*ensure_ascii=*/true,
                                      nlohmann::json::error_handler_t::replace);
}

template <typename Message>
absl::StatusOr<Message> Decode(std::string_view text) {
  try {
    auto message = nlohmann::json::parse(text).get<Message>();
    if (!IsSound(message)) {
      return absl::InvalidArgumentError("no answer and no reason");
    }
    return message;
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

#define MANGOHOLD_MESSAGE(Type)             \
  template std::string Encode(const Type&); \
  template absl::StatusOr<Type> Decode<Type>(std::string_view)

MANGOHOLD_MESSAGE(AgentStatus);
MANGOHOLD_MESSAGE(TicketRequest);
MANGOHOLD_MESSAGE(TicketReply);
MANGOHOLD_MESSAGE(SubmitRequest);
MANGOHOLD_MESSAGE(SubmitReply);
MANGOHOLD_MESSAGE(SubmitTrailer);
MANGOHOLD_MESSAGE(VoidRequest);
MANGOHOLD_MESSAGE(VoidReply);
MANGOHOLD_MESSAGE(StatusRequest);

}  // namespace mangohold
