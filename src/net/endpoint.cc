#include "net/endpoint.h"

#include <asio/ip/address.hpp>
#include <charconv>

namespace mangohold {

HostPort ParseEndpoint(const Endpoint& endpoint) {
  const std::string& text = endpoint.value();
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  HostPort out{.host = text.substr(0, colon)};
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data() + colon + 1, end, out.port);
  if (result.ec != std::errc() || result.ptr != end) out.port = 0;
  return out;
}

bool IsUsable(const Endpoint& endpoint) {
  const HostPort parts = ParseEndpoint(endpoint);
  std::error_code error;
  asio::ip::make_address(parts.host, error);
  return !error && parts.port > 0;
}

std::vector<Endpoint> ToEndpoints(const std::vector<std::string>& texts) {
  return {texts.begin(), texts.end()};
}

}  // namespace mangohold
