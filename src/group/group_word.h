// What entries ask the agents of a group that has just opened: whether its
// experts are spread by a planned map, or still dealt out in turn, which makes
// its passes several times as long. Datagrams, small and without state.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace mangohold {

struct GroupQuestion {
  Endpoint reply_to;
};

struct GroupWord {
  GroupName group;
  bool has_planned_map = false;
};

std::string EncodeGroupQuestion(const GroupQuestion& question);
std::string EncodeGroupWord(const GroupWord& word);
// Nothing for bytes that are no such message.
std::optional<GroupQuestion> DecodeGroupQuestion(std::string_view bytes);
std::optional<GroupWord> DecodeGroupWord(std::string_view bytes);

}  // namespace mangohold
