// Parsing of "host:port" texts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"

namespace mangohold {

// An IP address and a port. A port of 0 marks a text that couldn't be parsed.
struct HostPort {
  std::string host;
  std::uint16_t port = 0;
};

HostPort ParseEndpoint(const Endpoint& endpoint);
// True if it is an IP address and a port above 0, and nothing else.
bool IsUsable(const Endpoint& endpoint);
std::vector<Endpoint> ToEndpoints(const std::vector<std::string>& texts);

}  // namespace mangohold
