// What faulty peers write in place of a status, and a server that answers every
// connection with the same bytes.
#pragma once

#include <array>
#include <asio.hpp>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "core/ids.h"

namespace mangohold {

// None of them is a status of the protocol.
inline constexpr std::array kOddStatuses = {"000",  "001", "099", "00",  "2 00",
                                            "0200", "101", "199", "600", "999",
                                            "1000", "-20", "2x0", "20"};

// The text of a whole answer of four bytes.
inline std::string AnswerWithStatus(const std::string& status) {
  return "HTTP/1.1 " + status + " Odd\r\nContent-Length: 4\r\n\r\nbody";
}

class FixedAnswerServer {
 public:
  explicit FixedAnswerServer(std::string answer)
      : answer_(std::move(answer)),
        acceptor_(io_, {asio::ip::address_v4::loopback(), /*port=*/0}) {
    Accept();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~FixedAnswerServer() {
    io_.stop();
    thread_.join();
  }
  FixedAnswerServer(const FixedAnswerServer&) = delete;
  FixedAnswerServer& operator=(const FixedAnswerServer&) = delete;

  Endpoint address() const {
    return Endpoint("127.0.0.1:" +
                    std::to_string(acceptor_.local_endpoint().port()));
  }
  std::string url() const { return "http://" + address().value(); }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    std::string request;
  };

  void Accept() {
    acceptor_.async_accept(
        [this](const std::error_code& error, asio::ip::tcp::socket socket) {
          if (error) return;
          Answer(std::make_shared<Connection>(std::move(socket)));
          Accept();
        });
  }

  void Answer(const std::shared_ptr<Connection>& connection) {
    asio::async_read_until(
        connection->socket, asio::dynamic_buffer(connection->request),
        "\r\n\r\n",
        [this, connection](const std::error_code& error, std::size_t) {
          if (error) return;
          asio::async_write(
              connection->socket, asio::buffer(answer_),
              [connection](const std::error_code&, std::size_t) {
                std::error_code ignored;  // the peer may have gone
                connection->socket.shutdown(
                    asio::ip::tcp::socket::shutdown_send, ignored);
              });
        });
  }

  std::string answer_;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace mangohold
