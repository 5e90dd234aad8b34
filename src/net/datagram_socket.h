// Datagrams between the system's own processes.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "core/counters.h"
#include "core/ids.h"

namespace mangohold {

// Belongs to its event loop's thread. Datagrams may be lost, doubled and
// overtaken; what they carry must bear that.
class DatagramSocket {
 public:
  DatagramSocket(asio::io_context& io, Counters& counters);

  // Listens on `endpoint` and hands each datagram to `on_datagram`.
  absl::Status Open(const Endpoint& endpoint,
                    std::function<void(std::string_view data)> on_datagram);
  // A datagram that can't be sent at once is dropped and counted.
  void Send(const Endpoint& to, std::string_view data);

 private:
  void Receive();

  asio::ip::udp::socket socket_;
  Counters& counters_;
  std::function<void(std::string_view data)> on_datagram_;
  std::string buffer_;
  asio::ip::udp::endpoint sender_;
};

}  // namespace mangohold
