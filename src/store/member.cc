#include "store/member.h"

#include <algorithm>

#include "core/json_types.h"

namespace mangohold {
namespace {

// Others can't be the processor share of a machine: one absurd record would
// take nearly all requests away from the other entries, or its own.
bool IsCpuShare(double cores) { return cores >= 0.001 && cores <= 1'000; }

// A record with an unusable share is that of an entry whose share is unknown.
double ReadCpuShare(const nlohmann::json& json) {
  const auto found = json.find("cpu_share");
  if (found == json.end() || !found->is_number()) return 0;
  const auto cores = found->get<double>();
  return IsCpuShare(cores) ? cores : 0;
}

}  // namespace

std::string EncodeMember(const Member& member) {
  nlohmann::json json = {
      {"id", member.id},        {"role", static_cast<int>(member.role)},
      {"zone", member.zone},    {"caller", member.caller},
      {"peer", member.peer},    {"backend", member.backend},
      {"group", member.group},  {"admin", member.admin},
      {"pace", member.slowdown}};
  // Earlier releases don't read it.
  if (IsCpuShare(member.cpu_share)) json["cpu_share"] = member.cpu_share;
  return json.dump();
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
                  .slowdown = std::max(1.0, json.value("pace", 1.0)),
                  .cpu_share = ReadCpuShare(json)};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace mangohold
