// HTTP messages as plain data, free of any library's types.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace mangohold {

// One header or trailer field. Names compare without regard to case.
struct HttpField {
  std::string name;
  std::string value;
};

using HttpFields = std::vector<HttpField>;

// The value of the first field called `name`, or an empty view.
std::string_view FieldValue(const HttpFields& fields, std::string_view name);

// A request that a server received.
struct HttpRequest {
  std::string method;
  std::string path;  // without the query
  std::string query;
  HttpFields fields;
  std::string body;
  std::string remote_ip;  // of the connection; empty if it isn't known

  std::string_view Field(std::string_view name) const {
    return FieldValue(fields, name);
  }
  // The value of the query parameter `name`, or an empty string.
  std::string QueryValue(std::string_view name) const;
};

}  // namespace mangohold
