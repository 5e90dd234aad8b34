#include "relay.h"

#include <array>

#include "net/endpoint.h"

namespace mangohold::testing {
namespace {

constexpr std::chrono::milliseconds kStallCheck{10};

asio::ip::tcp::endpoint ToTcp(const Endpoint& endpoint) {
  const HostPort parts = ParseEndpoint(endpoint);
  return {asio::ip::make_address(parts.host), parts.port};
}

}  // namespace

// Two joined sockets, with a buffer for each direction.
struct Relay::Pair : std::enable_shared_from_this<Relay::Pair> {
  struct Direction {
    asio::ip::tcp::socket* from;
    asio::ip::tcp::socket* to;
    const std::atomic<bool>& is_stalled;
    std::array<char, 65536> buffer{};
    asio::steady_timer timer;
  };

  Pair(asio::ip::tcp::socket accepted, const std::atomic<bool>& stalled_to,
       const std::atomic<bool>& stalled_from)
      : near(std::move(accepted)),
        far(near.get_executor()),
        directions{Direction{&near,
                             &far,
                             stalled_to,
                             {},
                             asio::steady_timer(near.get_executor())},
                   Direction{&far,
                             &near,
                             stalled_from,
                             {},
                             asio::steady_timer(near.get_executor())}} {}

  void Start(const asio::ip::tcp::endpoint& target) {
    far.async_connect(target, [self = shared_from_this()](auto error) {
      if (error) return self->Close();
      for (Direction& direction : self->directions) self->Read(direction);
    });
  }

  void Read(Direction& direction) {
    direction.from->async_read_some(
        asio::buffer(direction.buffer),
        [self = shared_from_this(), &direction](auto error, std::size_t size) {
          if (error) return self->Close();
          self->Forward(direction, size);
        });
  }

  void Forward(Direction& direction, std::size_t size) {
    if (direction.is_stalled) {
      direction.timer.expires_after(kStallCheck);
      direction.timer.async_wait(
          [self = shared_from_this(), &direction, size](auto error) {
            if (!error) self->Forward(direction, size);
          });
      return;
    }
    asio::async_write(
        *direction.to, asio::buffer(direction.buffer, size),
        [self = shared_from_this(), &direction](auto error, std::size_t) {
          if (error) return self->Close();
          self->Read(direction);
        });
  }

  void Close() {
    asio::error_code ignored;
    near.close(ignored);
    far.close(ignored);
  }

  // Closing then sends a reset, and drops what wasn't sent.
  void CloseWithReset() {
    asio::error_code ignored;
    near.set_option(asio::socket_base::linger(true, 0), ignored);
    far.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  asio::ip::tcp::socket near;
  asio::ip::tcp::socket far;
  std::array<Direction, 2> directions;
};

Relay::Relay(const Endpoint& from, const Endpoint& to)
    : acceptor_(io_, ToTcp(from)), target_(ToTcp(to)) {
  Accept();
  thread_ = std::thread([this] { io_.run(); });
}

Relay::~Relay() {
  io_.stop();
  thread_.join();
}

void Relay::Accept() {
  acceptor_.async_accept([this](auto error, asio::ip::tcp::socket socket) {
    if (error) return;
    if (!is_cut_) {
      auto pair = std::make_shared<Pair>(std::move(socket), is_stalled_to_,
                                         is_stalled_from_);
      pairs_.push_back(pair);
      pair->Start(target_);
    }
    Accept();
  });
}

void Relay::CloseAll(bool with_reset) {
  asio::post(io_, [this, with_reset] {
    for (const auto& weak : pairs_) {
      const auto pair = weak.lock();
      if (pair == nullptr) continue;
      if (with_reset) {
        pair->CloseWithReset();
      } else {
        pair->Close();
      }
    }
    pairs_.clear();
  });
}

void Relay::Cut() {
  is_cut_ = true;
  CloseAll(/*with_reset=*/false);
}

void Relay::Reset() { CloseAll(/*with_reset=*/true); }

void Relay::Stall() {
  StallRequests();
  StallAnswers();
}

void Relay::Mend() {
  is_cut_ = false;
  is_stalled_to_ = false;
  is_stalled_from_ = false;
}

}  // namespace mangohold::testing
