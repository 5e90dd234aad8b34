#include "review/standins-3/tests/plain_client.h"

#include <utility>

#include "net/endpoint.h"

namespace mangohold::review {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr int kHex = 16;

}  // namespace

PlainClient::PlainClient(const std::string& address) : socket_(io_) {
  const HostPort server = ParseEndpoint(Endpoint(address));
  socket_.connect({asio::ip::make_address(server.host), server.port});
  socket_.set_option(asio::ip::tcp::no_delay(true));
}

void PlainClient::Send(const std::string& text) {
  asio::write(socket_, asio::buffer(text));
}

void PlainClient::Fill(std::size_t size) {
  if (buffer_.size() >= size) return;
  asio::read(socket_, asio::dynamic_buffer(buffer_),
             asio::transfer_at_least(size - buffer_.size()));
}

std::string PlainClient::Take(std::size_t size) {
  Fill(size);
  std::string text = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return text;
}

std::string PlainClient::TakeLine() {
  const std::size_t size =
      asio::read_until(socket_, asio::dynamic_buffer(buffer_), kLineEnd);
  std::string line = Take(size);
  line.resize(size - kLineEnd.size());
  return line;
}

std::string PlainClient::TakeChunks() {
  std::string body;
  while (true) {
    const std::size_t size = std::stoul(TakeLine(), nullptr, kHex);
    body += Take(size);
    TakeLine();
    if (size == 0) return body;
  }
}

PlainClient::Answer PlainClient::ReadAnswer() {
  try {
    Answer answer;
    const std::string first = TakeLine();
    const int status = std::stoi(first.substr(first.find(' ') + 1));
    for (std::string line = TakeLine(); !line.empty(); line = TakeLine()) {
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      answer.fields.push_back(
          {line.substr(0, colon),
           value == std::string::npos ? "" : line.substr(value)});
    }
    if (!FieldValue(answer.fields, "Transfer-Encoding").empty()) {
      answer.body = TakeChunks();
    } else {
      const std::string length(FieldValue(answer.fields, "Content-Length"));
      answer.body = Take(length.empty() ? 0 : std::stoul(length));
    }
    answer.status = status;
    return answer;
  } catch (const std::exception&) {
    return {};
  }
}

std::string PlainClient::RequestText(const std::string& method,
                                     const std::string& path,
                                     const std::string& id, int deadline_ms,
                                     const std::string& body) {
  return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n" +
         "X-Mangohold-Request-Id: " + id +
         "\r\nX-Mangohold-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer key\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace mangohold::review
