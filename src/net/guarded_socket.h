// The socket that RESTinio reads through: each server has one set of guards,
// which see the bytes of all connections before RESTinio does. RESTinio itself
// can neither refuse a body before it arrives nor bound all bodies together.
#pragma once

#include <functional>
#include <memory>
#include <restinio/all.hpp>
#include <string_view>
#include <utility>
#include <vector>

namespace mangohold {

class GuardedSocket;

// What guards the connections of one server.
class ConnectionGuards {
 public:
  virtual ~ConnectionGuards() = default;
  // Sees what has arrived. False ends the connection; the guards may have sent
  // a last answer on it.
  virtual bool Admit(GuardedSocket& socket, std::string_view data) = 0;
  // The connection has ended, and RESTinio has freed what it read on it.
  virtual void Forget(const GuardedSocket& socket) noexcept = 0;
};

class GuardedSocket : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;

  GuardedSocket(asio::io_context& io, std::shared_ptr<ConnectionGuards> guards)
      : Base(io), guards_(std::move(guards)) {}
  ~GuardedSocket() {
    if (guards_ != nullptr) guards_->Forget(*this);
  }
  // RESTinio moves a socket only before the first read.
  GuardedSocket(GuardedSocket&&) = default;
  GuardedSocket& operator=(GuardedSocket&&) = default;

  // RESTinio's name. Its connection owns this socket and lives as long as
  // `handler`.
  template <typename Handler>
  // NOLINTNEXTLINE(readability-identifier-naming)
  void async_read_some(const asio::mutable_buffer& buffer, Handler&& handler) {
    const auto executor =
        asio::get_associated_executor(handler, get_executor());
    Base::async_read_some(
        buffer,
        asio::bind_executor(
            executor,
            [this, data = static_cast<const char*>(buffer.data()),
             on_read = std::forward<Handler>(handler)](
                const std::error_code& error, std::size_t size) mutable {
              if (!error && !guards_->Admit(*this, {data, size})) {
                const std::error_code refused =
                    asio::error::make_error_code(asio::error::connection_reset);
                on_read(refused, std::size_t{0});
                return;
              }
              on_read(error, size);
            }));
  }

 private:
  std::shared_ptr<ConnectionGuards> guards_;
};

}  // namespace mangohold

namespace restinio {

// RESTinio's points of extension, as its own TLS socket uses them.
// NOLINTBEGIN(readability-identifier-naming)
template <typename Settings>
class socket_type_dependent_settings_t<Settings, mangohold::GuardedSocket> {
 public:
  void set_guards(std::shared_ptr<mangohold::ConnectionGuards> guards) {
    guards_ = std::move(guards);
  }
  const std::shared_ptr<mangohold::ConnectionGuards>& guards() const {
    return guards_;
  }

 protected:
  ~socket_type_dependent_settings_t() noexcept = default;

 private:
  std::shared_ptr<mangohold::ConnectionGuards> guards_;
};

namespace impl {

template <>
class socket_supplier_t<mangohold::GuardedSocket> {
 protected:
  template <typename Settings>
  socket_supplier_t(Settings& settings, asio::io_context& io)
      : io_(io), guards_(settings.guards()) {
    const std::size_t count = settings.concurrent_accepts_count();
    sockets_.reserve(count);
    while (sockets_.size() < count) sockets_.emplace_back(io_, guards_);
  }
  virtual ~socket_supplier_t() = default;

  mangohold::GuardedSocket& socket(std::size_t index) {
    return sockets_.at(index);
  }
  mangohold::GuardedSocket move_socket(std::size_t index) {
    mangohold::GuardedSocket out(io_, guards_);
    std::swap(out, sockets_.at(index));
    return out;
  }
  std::size_t concurrent_accept_sockets_count() const {
    return sockets_.size();
  }

 private:
  asio::io_context& io_;
  std::shared_ptr<mangohold::ConnectionGuards> guards_;
  std::vector<mangohold::GuardedSocket> sockets_;
};

}  // namespace impl
// NOLINTEND(readability-identifier-naming)
}  // namespace restinio
