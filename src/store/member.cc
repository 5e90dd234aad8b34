#include "store/member.h"

#include <algorithm>

#include "core/json_types.h"

namespace mangohold {

std::string EncodeMember(const Member& member) {
  return nlohmann::json{
      {"id", member.id},        {"role", static_cast<int>(member.role)},
      {"zone", member.zone},    {"caller", member.caller},
      {"peer", member.peer},    {"backend", member.backend},
      {"group", member.group},  {"admin", member.admin},
      {"pace", member.slowdown}}
      .dump();
}

std::optional<Member> DecodeMember(const std::string& value) {
  try {
    const auto json = nlohmann::json::parse(value);
    const int role = json.at("role").get<int>();
    if (role < 0 || role >= static_cast<int>(MemberRole::kCount)) {
      return std::nullopt;
    }
    return Member{.id = json.at("id").get<InstanceId>(),
                  .role = static_cast<MemberRole>(role),
                  .zone = json.at("zone").get<ZoneName>(),
                  .caller = json.at("caller").get<Endpoint>(),
                  .peer = json.at("peer").get<Endpoint>(),
                  .backend = json.at("backend").get<Endpoint>(),
                  .group = json.at("group").get<GroupName>(),
                  .admin = json.at("admin").get<Endpoint>(),
                  .slowdown = std::max(1.0, json.value("pace", 1.0))};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace mangohold
