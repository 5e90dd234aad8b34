#include "net/datagram_socket.h"

#include <asio/buffer.hpp>
#include <utility>

#include "net/endpoint.h"

namespace mangohold {
namespace {

constexpr std::size_t kMostBytes = 64U << 10U;

}  // namespace

DatagramSocket::DatagramSocket(asio::io_context& io, Counters& counters)
    : socket_(io), counters_(counters) {
  buffer_.resize(kMostBytes);
}

absl::Status DatagramSocket::Open(
    const Endpoint& endpoint,
    std::function<void(std::string_view data)> on_datagram) {
  on_datagram_ = std::move(on_datagram);
  const HostPort target = ParseEndpoint(endpoint);
  std::error_code error;
  const auto address = asio::ip::make_address(target.host, error);
  if (!error) socket_.open(asio::ip::udp::v4(), error);
  if (!error) socket_.bind({address, target.port}, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    return absl::UnavailableError("can't receive on " + endpoint.value() +
                                  ": " + error.message());
  }
  Receive();
  return absl::OkStatus();
}

void DatagramSocket::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_,
      [this](const std::error_code& error, std::size_t size) {
        if (error == asio::error::operation_aborted) return;
        if (!error) {
          counters_.Count(Event::kControlBytes, size);
          on_datagram_({buffer_.data(), size});
        }
        Receive();
      });
}

void DatagramSocket::Send(const Endpoint& to, std::string_view data) {
  const HostPort target = ParseEndpoint(to);
  std::error_code error;
  const auto address = asio::ip::make_address(target.host, error);
  if (!error) {
    socket_.send_to(asio::buffer(data.data(), data.size()),
                    {address, target.port}, 0, error);
  }
  if (error) {
    counters_.Count(Event::kDatagramsDropped);
  } else {
    counters_.Count(Event::kControlBytes, data.size());
  }
}

}  // namespace mangohold
