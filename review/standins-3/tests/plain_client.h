// A client that keeps its connection and reads each answer to its end.
#pragma once

#include <asio.hpp>
#include <string>

#include "net/http_message.h"

namespace mangohold::review {

class PlainClient {
 public:
  struct Answer {
    int status = 0;  // 0: the connection ended before the answer was whole
    HttpFields fields;
    std::string body;
  };

  // `address` is "ip:port". Throws if nobody listens there.
  explicit PlainClient(const std::string& address);

  void Send(const std::string& text);
  Answer ReadAnswer();

  // A request with the key of the deployment.
  static std::string RequestText(const std::string& method,
                                 const std::string& path, const std::string& id,
                                 int deadline_ms, const std::string& body = "");

 private:
  // Reads until `size` bytes are there.
  void Fill(std::size_t size);
  std::string TakeLine();
  std::string Take(std::size_t size);
  std::string TakeChunks();

  asio::io_context io_;
  asio::ip::tcp::socket socket_;
  std::string buffer_;
};

}  // namespace mangohold::review
