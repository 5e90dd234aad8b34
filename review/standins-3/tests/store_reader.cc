#include "review/standins-3/tests/store_reader.h"

#include <absl/strings/escaping.h>

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include "net/endpoint.h"

namespace mangohold::review {

std::optional<std::string> ReadItem(const std::string& address,
                                    const std::string& prefix) {
  const HostPort server = ParseEndpoint(Endpoint(address));
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::make_address(server.host), server.port});
  const std::string call = "GET /mangohold/kv-range?prefix=" + prefix +
                           " HTTP/1.1\r\nHost: store\r\n\r\n";
  asio::write(socket, asio::buffer(call));
  constexpr std::string_view kEnd = "\r\n\r\n";
  constexpr std::string_view kLength = "Content-Length: ";
  std::string text;
  const std::size_t head =
      asio::read_until(socket, asio::dynamic_buffer(text), kEnd);
  const std::size_t at = text.find(kLength);
  const std::size_t size = at == std::string::npos
                               ? 0
                               : std::stoul(text.substr(at + kLength.size()));
  if (text.size() < head + size) {
    asio::read(socket, asio::dynamic_buffer(text),
               asio::transfer_exactly(head + size - text.size()));
  }
  const auto body = nlohmann::json::parse(text.substr(head, size));
  if (body.at("items").empty()) return std::nullopt;
  std::string value;
  absl::Base64Unescape(body.at("items").at(0).at("value").get<std::string>(),
                       &value);
  return value;
}

}  // namespace mangohold::review
