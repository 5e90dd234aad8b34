// JSON forms of the strong types. Include it only from .cc files.
#pragma once

#include <nlohmann/json.hpp>

#include "core/clock.h"
#include "core/ids.h"
#include "core/outcome.h"

namespace nlohmann {

template <typename Tag>
struct adl_serializer<mangohold::Id<Tag>> {
  static void to_json(json& j, const mangohold::Id<Tag>& id) { j = id.value(); }
  static void from_json(const json& j, mangohold::Id<Tag>& id) {
    id = mangohold::Id<Tag>(j.get<std::string>());
  }
};

template <typename Tag>
struct adl_serializer<mangohold::Number<Tag>> {
  static void to_json(json& j, const mangohold::Number<Tag>& number) {
    j = number.value();
  }
  static void from_json(const json& j, mangohold::Number<Tag>& number) {
    number = mangohold::Number<Tag>(j.get<std::uint64_t>());
  }
};

template <>
struct adl_serializer<mangohold::Revision> {
  static void to_json(json& j, const mangohold::Revision& revision) {
    j = revision.packed();
  }
  static void from_json(const json& j, mangohold::Revision& revision) {
    revision = mangohold::Revision::FromPacked(j.get<std::uint64_t>());
  }
};

// Durations travel as whole milliseconds.
template <>
struct adl_serializer<mangohold::Millis> {
  static void to_json(json& j, const mangohold::Millis& millis) {
    j = millis.count();
  }
  static void from_json(const json& j, mangohold::Millis& millis) {
    millis = mangohold::Millis(j.get<std::int64_t>());
  }
};

// Reasons travel by name, so that processes of different versions agree.
template <>
struct adl_serializer<mangohold::Reason> {
  static void to_json(json& j, const mangohold::Reason& reason) {
    j = mangohold::Name(reason);
  }
  static void from_json(const json& j, mangohold::Reason& reason) {
    reason = mangohold::ReasonFromName(j.get<std::string>());
  }
};

}  // namespace nlohmann
