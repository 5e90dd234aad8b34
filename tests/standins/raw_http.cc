#include "standins/raw_http.h"

#include <charconv>
#include <cstdio>
#include <cstdlib>

#include "net/endpoint.h"

namespace mangohold::standin {
namespace {

using asio::use_awaitable;
using asio::ip::tcp;

void ParseHead(std::string_view head, HttpRequest& request) {
  const auto take = [&head](std::string_view end) {
    const std::size_t at = head.find(end);
    const std::string_view part = head.substr(0, at);
    head.remove_prefix(at == std::string_view::npos ? head.size()
                                                    : at + end.size());
    return std::string(part);
  };
  request.method = take(" ");
  const std::string target = take(" ");
  take("\r\n");
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) request.query = target.substr(mark + 1);
  while (!head.empty()) {
    const std::string line = take("\r\n");
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    request.fields.push_back({line.substr(0, colon), value == std::string::npos
                                                         ? ""
                                                         : line.substr(value)});
  }
}

asio::awaitable<void> Converse(std::shared_ptr<Connection> connection,
                               const Handler* handler) {
  try {
    while (true) {
      HttpRequest request;
      const bool has_request = co_await connection->Read(request);
      if (!has_request) co_return;
      co_await (*handler)(std::move(request), *connection);
      if (!connection->is_open()) co_return;
    }
  } catch (const std::exception&) {
    // The peer has gone; the connection closes with its last reference.
  }
}

asio::awaitable<void> Listen(tcp::acceptor acceptor, Handler handler) {
  while (true) {
    tcp::socket socket = co_await acceptor.async_accept(use_awaitable);
    socket.set_option(tcp::no_delay(true));
    asio::co_spawn(
        acceptor.get_executor(),
        Converse(std::make_shared<Connection>(std::move(socket)), &handler),
        asio::detached);
  }
}

}  // namespace

asio::awaitable<bool> Connection::Read(HttpRequest& request) {
  constexpr std::string_view kEnd = "\r\n\r\n";
  asio::error_code error;
  auto token = asio::redirect_error(use_awaitable, error);
  const std::size_t head_size = co_await asio::async_read_until(
      socket_, asio::dynamic_buffer(buffer_), kEnd, token);
  if (error) co_return false;
  const std::string_view received = buffer_;
  ParseHead(received.substr(0, head_size - kEnd.size()), request);
  buffer_.erase(0, head_size);
  const std::string_view length = request.Field("Content-Length");
  std::size_t body_size = 0;
  std::from_chars(length.data(), length.data() + length.size(), body_size);
  if (buffer_.size() < body_size) {
    co_await asio::async_read(
        socket_, asio::dynamic_buffer(buffer_),
        asio::transfer_exactly(body_size - buffer_.size()), token);
    if (error) co_return false;
  }
  request.body = buffer_.substr(0, body_size);
  buffer_.erase(0, body_size);
  co_return true;
}

asio::awaitable<void> Connection::Reply(int status, std::string type,
                                        std::string body, std::string fields) {
  const std::string text =
      "HTTP/1.1 " + std::to_string(status) + " Standin\r\n" + fields +
      "Content-Type: " + type +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  co_await asio::async_write(socket_, asio::buffer(text), use_awaitable);
}

asio::awaitable<void> Connection::StartChunks(int status, std::string type) {
  const std::string text = "HTTP/1.1 " + std::to_string(status) +
                           " Standin\r\nContent-Type: " + type +
                           "\r\nTransfer-Encoding: chunked\r\n\r\n";
  co_await asio::async_write(socket_, asio::buffer(text), use_awaitable);
}

asio::awaitable<void> Connection::Chunk(std::string data) {
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  const std::string text = size.data() + data + "\r\n";
  co_await asio::async_write(socket_, asio::buffer(text), use_awaitable);
}

asio::awaitable<void> Connection::EndChunks() {
  const std::string text = "0\r\n\r\n";
  co_await asio::async_write(socket_, asio::buffer(text), use_awaitable);
}

asio::awaitable<void> Connection::Send(std::string text) {
  co_await asio::async_write(socket_, asio::buffer(text), use_awaitable);
}

void Connection::Finish() {
  asio::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  socket_.close(ignored);
}

asio::awaitable<bool> Connection::IsClosedWithin(
    std::chrono::milliseconds duration) {
  constexpr std::chrono::milliseconds kStep{5};
  socket_.non_blocking(true);
  while (duration.count() > 0) {
    std::array<char, 1> byte{};
    asio::error_code error;
    socket_.receive(asio::buffer(byte), tcp::socket::message_peek, error);
    if (error && error != asio::error::would_block) co_return true;
    co_await Sleep(std::min(kStep, duration));
    duration -= kStep;
  }
  co_return false;
}

void Connection::Drop() {
  asio::error_code ignored;
  socket_.close(ignored);
}

void Serve(asio::io_context& io, const std::string& address, Handler handler) {
  const HostPort parts = ParseEndpoint(Endpoint(address));
  tcp::acceptor acceptor(
      io, tcp::endpoint(asio::ip::make_address(parts.host), parts.port));
  asio::co_spawn(io, Listen(std::move(acceptor), std::move(handler)),
                 asio::detached);
}

asio::awaitable<void> Sleep(std::chrono::milliseconds duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(use_awaitable);
}

std::string Option(int argc, char** argv, const std::string& name,
                   const std::string& otherwise) {
  for (int i = 1; i + 1 < argc; ++i) {
    if (argv[i] == name) return argv[i + 1];
  }
  return otherwise;
}

}  // namespace mangohold::standin
