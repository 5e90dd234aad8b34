#include "store/change_relay.h"

#include "core/cbor.h"
#include "core/json_types.h"

namespace mangohold {
namespace {

using Json = nlohmann::json;

std::int64_t ToMicros(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

Duration ToDuration(const Json& micros) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::microseconds(micros.get<std::int64_t>()));
}

Json FromEvent(const StoreEvent& event) {
  return {event.item.key,     event.item.value, event.item.revision,
          event.item.created, event.item.lease, event.is_deleted};
}

StoreEvent ToEvent(const Json& json) {
  return {.item = {.key = json.at(0).get<std::string>(),
                   .value = json.at(1).get<std::string>(),
                   .revision = json.at(2).get<Revision>(),
                   .created = json.at(3).get<Revision>(),
                   .lease = json.at(4).get<LeaseId>()},
          .is_deleted = json.at(5).get<bool>()};
}

}  // namespace

std::string EncodeRelayed(const RelayedEvents& relayed) {
  Json events = Json::array();
  for (const StoreEvent& event : relayed.events.events) {
    events.push_back(FromEvent(event));
  }
  std::string bytes;
  Json::to_cbor({{"events", std::move(events)},
                 {"at", relayed.events.revision},
                 {"age", ToMicros(relayed.age)},
                 {"held", ToMicros(relayed.held)}},
                bytes);
  return bytes;
}

absl::StatusOr<RelayedEvents> DecodeRelayed(std::string_view bytes) {
  try {
    const Json json = ParseCbor(bytes);
    RelayedEvents relayed{.events = {.revision = json.at("at").get<Revision>()},
                          .age = ToDuration(json.at("age")),
                          .held = ToDuration(json.at("held"))};
    for (const Json& event : json.at("events")) {
      relayed.events.events.push_back(ToEvent(event));
    }
    return relayed;
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace mangohold
