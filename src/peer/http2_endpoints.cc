#include "peer/http2_endpoints.h"

#include <asio.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "net/endpoint.h"
#include "peer/http2_socket.h"

namespace mangohold {
namespace {

constexpr Duration kAcceptRetry = std::chrono::milliseconds(100);

// One connection attempt and its timeout. The timer closes the socket, which
// fails the attempt.
struct ConnectAttempt {
  explicit ConnectAttempt(asio::io_context& io) : socket(io), timer(io) {}
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::function<void(Http2SessionPtr)> on_result;
};

std::optional<asio::ip::tcp::endpoint> ToTcpEndpoint(const Endpoint& endpoint) {
  const HostPort parts = ParseEndpoint(endpoint);
  asio::error_code error;
  const auto address = asio::ip::make_address(parts.host, error);
  if (error || parts.port == 0) return std::nullopt;
  return asio::ip::tcp::endpoint(address, parts.port);
}

}  // namespace

void ConnectHttp2(asio::io_context& io, const Endpoint& endpoint,
                  Duration timeout,
                  std::function<void(Http2SessionPtr)> on_result) {
  const auto target = ToTcpEndpoint(endpoint);
  if (!target) {
    asio::post(io, [on_result] { on_result(nullptr); });
    return;
  }
  auto attempt = std::make_shared<ConnectAttempt>(io);
  attempt->on_result = std::move(on_result);
  attempt->timer.expires_after(timeout);
  attempt->timer.async_wait([attempt](const std::error_code& error) {
    asio::error_code ignored;
    if (!error) attempt->socket.close(ignored);
  });
  attempt->socket.async_connect(
      *target, [attempt](const std::error_code& error) {
        attempt->timer.cancel();
        if (error) {
          attempt->on_result(nullptr);
          return;
        }
        attempt->on_result(std::make_shared<Http2Session>(StartHttp2(
            std::move(attempt->socket), Http2Role::kClient, nullptr)));
      });
}

struct Http2Server::State : std::enable_shared_from_this<Http2Server::State> {
  State(asio::io_context& io, Http2Session::OnStream accept)
      : acceptor(io), retry_timer(io), on_stream(std::move(accept)) {}

  // A failed accept is repeated after a time: it fails at once again while the
  // process has no descriptor left.
  void RetryAccept() {
    retry_timer.expires_after(kAcceptRetry);
    retry_timer.async_wait([self = shared_from_this()](const auto& error) {
      if (!error && self->acceptor.is_open()) self->Accept();
    });
  }

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](const std::error_code& error,
                                    asio::ip::tcp::socket socket) {
          if (!self->acceptor.is_open()) return;
          if (error) return self->RetryAccept();
          std::erase_if(self->sessions,
                        [](const auto& session) { return session.expired(); });
          const bool is_full =
              self->limit > 0 && self->sessions.size() >= self->limit;
          if (is_full) {
            asio::error_code ignored;
            socket.close(ignored);
            self->on_refused();
            return self->Accept();
          }
          self->sessions.push_back(StartHttp2(
              std::move(socket), Http2Role::kServer, self->on_stream));
          self->Accept();
        });
  }

  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer retry_timer;
  Http2Session::OnStream on_stream;
  std::size_t limit = 0;  // of connections; 0: none
  std::function<void()> on_refused;
  std::vector<std::weak_ptr<Http2Session::Impl>> sessions;
};

Http2Server::Http2Server(asio::io_context& io, Http2Session::OnStream on_stream)
    : state_(std::make_shared<State>(io, std::move(on_stream))) {}

Http2Server::~Http2Server() {
  StopListening();
  for (const auto& weak : state_->sessions) {
    if (const auto session = weak.lock()) CloseHttp2(*session);
  }
}

void Http2Server::SetConnectionLimit(int limit,
                                     std::function<void()> on_refused) {
  state_->limit = static_cast<std::size_t>(limit);
  state_->on_refused = std::move(on_refused);
}

absl::Status Http2Server::Listen(const Endpoint& endpoint) {
  const auto target = ToTcpEndpoint(endpoint);
  if (!target) {
    return absl::InvalidArgumentError("not an IP address and port: " +
                                      endpoint.value());
  }
  asio::error_code error;
  state_->acceptor.open(target->protocol(), error);
  if (!error) {
    state_->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) state_->acceptor.bind(*target, error);
  if (!error) {
    state_->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return absl::UnavailableError("cannot listen on " + endpoint.value() +
                                  ": " + error.message());
  }
  state_->Accept();
  return absl::OkStatus();
}

void Http2Server::StopListening() {
  asio::error_code ignored;
  state_->acceptor.close(ignored);
  state_->retry_timer.cancel();
}

}  // namespace mangohold
