// Which header fields concern one connection only, and lists within fields.
#pragma once

#include <string>
#include <string_view>

#include "net/http_message.h"

namespace mangohold {

// Compares field names and tokens without regard to case.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);
// True if the comma-separated `list` holds `token`.
bool HasToken(std::string_view list, std::string_view token);
// `fields` without those that concern one connection only: the hop-by-hop ones,
// those that the Connection field names, and those that state the framing.
HttpFields WithoutConnectionFields(const HttpFields& fields);
// Removes the fields called `name`.
void RemoveField(HttpFields& fields, std::string_view name);

}  // namespace mangohold
