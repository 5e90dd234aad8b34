// A caller that tests can make rude: it sends a request and then reads slowly,
// not at all, or goes away.
#pragma once

#include <asio.hpp>
#include <string>

#include "core/ids.h"
#include "net/endpoint.h"

namespace mangohold::testing {

class RawCaller {
 public:
  explicit RawCaller(const Endpoint& address) : socket_(io_) {
    const HostPort parts = ParseEndpoint(address);
    socket_.connect({asio::ip::make_address(parts.host), parts.port});
  }

  void Post(const std::string& path, const std::string& body,
            const std::string& fields = "") {
    const std::string text = "POST " + path + " HTTP/1.1\r\nHost: test\r\n" +
                             "Mangohold-Workspace: sales\r\n" + fields +
                             "Content-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body;
    asio::write(socket_, asio::buffer(text));
  }

  void Send(const std::string& text) {
    asio::write(socket_, asio::buffer(text));
  }

  // Reads until `marker` has arrived; returns all that was read.
  std::string ReadUntil(const std::string& marker) {
    asio::error_code error;
    asio::read_until(socket_, asio::dynamic_buffer(received_), marker, error);
    return received_;
  }

  void Close() { socket_.close(); }

 private:
  asio::io_context io_;
  asio::ip::tcp::socket socket_;
  std::string received_;
};

}  // namespace mangohold::testing
