// A minimal HTTP/1.1 server for stand-ins. Unlike a real server it lets a
// handler do what tests need: stall, cut a response short, close the connection
// without an answer.
#pragma once

#include <asio.hpp>
#include <functional>
#include <string>

#include "net/http_message.h"

namespace mangohold::standin {

class Connection {
 public:
  explicit Connection(asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {}

  // Reads one request; false when the peer has closed.
  asio::awaitable<bool> Read(HttpRequest& request);
  // `fields` are lines, each with its end.
  asio::awaitable<void> Reply(int status, std::string type, std::string body,
                              std::string fields = "");
  asio::awaitable<void> StartChunks(int status, std::string type);
  asio::awaitable<void> Chunk(std::string data);
  asio::awaitable<void> EndChunks();
  // Sends bytes as they are.
  asio::awaitable<void> Send(std::string text);
  // Ends the connection behind what was sent.
  void Finish();
  // Waits; true once the peer has closed the connection.
  asio::awaitable<bool> IsClosedWithin(std::chrono::milliseconds duration);
  // Closes the connection at once, whatever was sent.
  void Drop();
  bool is_open() const { return socket_.is_open(); }

 private:
  asio::ip::tcp::socket socket_;
  std::string buffer_;
};

using Handler = std::function<asio::awaitable<void>(HttpRequest, Connection&)>;

// Serves `address` ("ip:port") on `io` until the process ends.
void Serve(asio::io_context& io, const std::string& address, Handler handler);

// Waits for `duration` on the current coroutine.
asio::awaitable<void> Sleep(std::chrono::milliseconds duration);

// The value of a "--name value" option, or `otherwise`.
std::string Option(int argc, char** argv, const std::string& name,
                   const std::string& otherwise);

}  // namespace mangohold::standin
