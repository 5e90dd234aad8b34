#include "spread/sync_message.h"

#include "core/cbor.h"
#include "platform/instance_json.h"

namespace mangohold {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DocumentVersion, path, revision,
                                                text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TreeUpdate, documents,
                                                complete_through)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SyncRequest, instance,
                                                is_qualified, complete_through,
                                                list_digest, wait)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    SyncReply, instance, incarnation, is_qualified, is_whole, is_leaving, held,
    confirmed_age, update, instances, has_instances, list_digest, list_age)

namespace {

template <typename Message>
std::string ToCbor(const Message& message) {
  std::string out;
  nlohmann::json::to_cbor(nlohmann::json(message), out);
  return out;
}

template <typename Message>
absl::StatusOr<Message> FromCbor(std::string_view bytes) {
  try {
    return ParseCbor(bytes).template get<Message>();
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace

std::string EncodeSyncMessage(const SyncRequest& request) {
  return ToCbor(request);
}
std::string EncodeSyncMessage(const SyncReply& reply) { return ToCbor(reply); }

absl::StatusOr<SyncRequest> DecodeSyncRequest(std::string_view bytes) {
  return FromCbor<SyncRequest>(bytes);
}

absl::StatusOr<SyncReply> DecodeSyncReply(std::string_view bytes) {
  return FromCbor<SyncReply>(bytes);
}

}  // namespace mangohold
