#include "group/group_word.h"

#include "core/json_types.h"

namespace mangohold {
namespace {

using Json = nlohmann::json;

constexpr char kReplyTo[] = "ask_to";
constexpr char kGroup[] = "word_of";
constexpr char kPlanned[] = "planned";

std::string Encode(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

template <typename Message, typename Read>
std::optional<Message> Decode(std::string_view bytes, Read read) {
  try {
    return read(Json::from_cbor(bytes.begin(), bytes.end()));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeGroupQuestion(const GroupQuestion& question) {
  return Encode({{kReplyTo, question.reply_to}});
}

std::string EncodeGroupWord(const GroupWord& word) {
  return Encode({{kGroup, word.group}, {kPlanned, word.has_planned_map}});
}

std::optional<GroupQuestion> DecodeGroupQuestion(std::string_view bytes) {
  return Decode<GroupQuestion>(bytes, [](const Json& json) {
    return GroupQuestion{.reply_to = json.at(kReplyTo).get<Endpoint>()};
  });
}

std::optional<GroupWord> DecodeGroupWord(std::string_view bytes) {
  return Decode<GroupWord>(bytes, [](const Json& json) {
    return GroupWord{.group = json.at(kGroup).get<GroupName>(),
                     .has_planned_map = json.at(kPlanned).get<bool>()};
  });
}

}  // namespace mangohold
