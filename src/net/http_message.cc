#include "net/http_message.h"

#include <strings.h>

#include <algorithm>

namespace mangohold {

std::string_view FieldValue(const HttpFields& fields, std::string_view name) {
  const auto it = std::ranges::find_if(fields, [name](const HttpField& field) {
    return field.name.size() == name.size() &&
           strncasecmp(field.name.data(), name.data(), name.size()) == 0;
  });
  return it == fields.end() ? std::string_view() : it->value;
}

std::string HttpRequest::QueryValue(std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name) {
      return std::string(pair.substr(std::min(equals + 1, pair.size())));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

}  // namespace mangohold
