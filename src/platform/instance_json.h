// The JSON form of instances, as the platform lists them and as peers pass the
// list on. Include it only from .cc files.
#pragma once

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

#include "core/json_types.h"
#include "platform/instance.h"

namespace mangohold {
namespace detail {

inline constexpr std::array<std::string_view,
                            static_cast<int>(InstanceRole::kCount)>
    kRoles = {"entry", "backend"};
inline constexpr std::array<std::string_view,
                            static_cast<int>(InstanceState::kCount)>
    kStates = {"live", "leaving"};

template <typename Enum, std::size_t N>
Enum FromName(const std::array<std::string_view, N>& names,
              const std::string& name) {
  const auto* it = std::ranges::find(names, name);
  if (it == names.end()) {
    throw nlohmann::json::other_error::create(501, "unknown word: " + name,
                                              nullptr);
  }
  return static_cast<Enum>(it - names.begin());
}

}  // namespace detail

inline void to_json(nlohmann::json& j, const Instance& instance) {
  j = {{"id", instance.id},
       {"role", detail::kRoles[static_cast<std::size_t>(instance.role)]},
       {"state", detail::kStates[static_cast<std::size_t>(instance.state)]},
       {"zone", instance.zone}};
  const auto add = [&j](const char* name, const std::string& value) {
    if (!value.empty()) j[name] = value;
  };
  add("service", instance.service.value());
  add("peer", instance.peer.value());
  add("control", instance.control.value());
  add("caller", instance.caller.value());
}

inline void from_json(const nlohmann::json& j, Instance& instance) {
  instance.id = j.at("id").get<InstanceId>();
  instance.role = detail::FromName<InstanceRole>(detail::kRoles, j.at("role"));
  instance.state =
      detail::FromName<InstanceState>(detail::kStates, j.at("state"));
  instance.zone = j.at("zone").get<ZoneName>();
  instance.service = ServiceName(j.value("service", ""));
  instance.peer = Endpoint(j.value("peer", ""));
  instance.control = Endpoint(j.value("control", ""));
  instance.caller = Endpoint(j.value("caller", ""));
}

}  // namespace mangohold
