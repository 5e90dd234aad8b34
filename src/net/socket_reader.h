// Reads what arrives at a connection, one read at a time.
#pragma once

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace mangohold {

class SocketReader {
 public:
  // Reads once, unless a read is under way. `on_read(error, bytes)` has to keep
  // this object alive; the bytes stay until the next read.
  template <typename Handler>
  void Read(asio::ip::tcp::socket& socket, Handler on_read) {
    if (std::exchange(is_reading_, true)) return;
    socket.async_read_some(
        asio::buffer(buffer_),
        [this, on_read = std::move(on_read)](const std::error_code& error,
                                             std::size_t size) {
          is_reading_ = false;
          on_read(error, std::string_view{buffer_.data(), size});
        });
  }

 private:
  // Bytes that are read at once at the most.
  static constexpr std::size_t kMostBytes = 16U << 10U;

  std::string buffer_ = std::string(kMostBytes, '\0');
  bool is_reading_ = false;
};

}  // namespace mangohold
