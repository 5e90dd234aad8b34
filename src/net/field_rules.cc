#include "net/field_rules.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace mangohold {
namespace {

constexpr std::array<std::string_view, 10> kConnectionFields = {
    "connection",          "keep-alive", "proxy-connection",
    "proxy-authenticate",  "te",         "trailer",
    "transfer-encoding",   "upgrade",    "content-length",
    "proxy-authorization",
};

std::string_view Trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

bool HasToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    if (EqualsIgnoringCase(Trimmed(list.substr(0, comma)), token)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

HttpFields WithoutConnectionFields(const HttpFields& fields) {
  const std::string_view named = FieldValue(fields, "Connection");
  HttpFields out;
  out.reserve(fields.size());
  std::ranges::copy_if(
      fields, std::back_inserter(out), [named](const HttpField& field) {
        return std::ranges::none_of(kConnectionFields,
                                    [&field](std::string_view name) {
                                      return EqualsIgnoringCase(name,
                                                                field.name);
                                    }) &&
               !HasToken(named, field.name);
      });
  return out;
}

void RemoveField(HttpFields& fields, std::string_view name) {
  std::erase_if(fields, [name](const HttpField& field) {
    return EqualsIgnoringCase(field.name, name);
  });
}

}  // namespace mangohold
