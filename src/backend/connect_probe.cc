#include "backend/connect_probe.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "net/endpoint.h"

namespace mangohold {
namespace {

struct Probe {
  Probe(asio::io_context& io, std::function<void(ProbeResult)> handler)
      : socket(io), timer(io), on_result(std::move(handler)) {}

  void End(ProbeResult result) {
    timer.cancel();
    std::error_code ignored;  // it is given up in any case
    socket.close(ignored);
    if (on_result) std::exchange(on_result, nullptr)(result);
  }

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::function<void(ProbeResult)> on_result;
};

ProbeResult ToResult(const std::error_code& error) {
  if (!error) return ProbeResult::kAccepted;
  const bool is_refused = error == asio::error::connection_refused ||
                          error == asio::error::connection_reset;
  return is_refused ? ProbeResult::kRefused : ProbeResult::kUnknown;
}

}  // namespace

void ProbeConnection(asio::io_context& io, const Endpoint& endpoint,
                     Duration timeout,
                     std::function<void(ProbeResult)> on_result) {
  const auto probe = std::make_shared<Probe>(io, std::move(on_result));
  const HostPort target = ParseEndpoint(endpoint);
  std::error_code error;
  const auto address = asio::ip::make_address(target.host, error);
  if (error) {
    return asio::post(io, [probe] { probe->End(ProbeResult::kUnknown); });
  }
  probe->timer.expires_after(timeout);
  probe->timer.async_wait([probe](const std::error_code& timer_error) {
    if (!timer_error) probe->End(ProbeResult::kUnknown);
  });
  probe->socket.async_connect({address, target.port},
                              [probe](const std::error_code& connect_error) {
                                probe->End(ToResult(connect_error));
                              });
}

}  // namespace mangohold
