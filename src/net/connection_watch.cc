#include "net/connection_watch.h"

#include <array>
#include <asio.hpp>

#include "net/endpoint.h"

namespace mangohold {

struct ConnectionWatch::State
    : std::enable_shared_from_this<ConnectionWatch::State> {
  State(EventLoop& loop, const Endpoint& target, Duration delay,
        std::function<void()> lost)
      : socket(loop.io()),
        timer(loop.io()),
        address(ParseEndpoint(target)),
        retry(delay),
        on_lost(std::move(lost)) {}

  void Connect() {
    asio::error_code error;
    const auto ip = asio::ip::make_address(address.host, error);
    if (error || address.port == 0) return;
    socket = asio::ip::tcp::socket(socket.get_executor());
    socket.async_connect({ip, address.port},
                         [weak = weak_from_this()](const std::error_code& e) {
                           const auto self = weak.lock();
                           if (self == nullptr) return;
                           if (e) {
                             self->Lose();
                           } else {
                             self->Wait();
                           }
                         });
  }

  // Nothing is sent, so nothing but the end of the connection can arrive.
  void Wait() {
    socket.async_read_some(
        asio::buffer(byte),
        [weak = weak_from_this()](const std::error_code&, std::size_t) {
          if (const auto self = weak.lock()) self->Lose();
        });
  }

  void Lose() {
    asio::error_code ignored;
    socket.close(ignored);
    timer.expires_after(retry);
    timer.async_wait([weak = weak_from_this()](const std::error_code& error) {
      const auto self = weak.lock();
      if (!error && self != nullptr) self->Connect();
    });
    on_lost();
  }

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  HostPort address;
  Duration retry;
  std::function<void()> on_lost;
  std::array<char, 1> byte{};
};

ConnectionWatch::ConnectionWatch(EventLoop& loop, const Endpoint& target,
                                 Duration retry, std::function<void()> on_lost)
    : state_(std::make_shared<State>(loop, target, retry, std::move(on_lost))) {
}

ConnectionWatch::~ConnectionWatch() = default;

void ConnectionWatch::Start() { state_->Connect(); }

}  // namespace mangohold
