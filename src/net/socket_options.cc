#include "net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace mangohold {
namespace {

constexpr int kUserTimeoutMs = 3'000;
constexpr int kProbeIdleS = 1;
constexpr int kProbeIntervalS = 1;
constexpr int kProbes = 2;

}  // namespace

void SetPeerOptions(asio::ip::tcp::socket& socket) {
  namespace detail = asio::detail;
  using Integer = detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  using Idle = detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using Interval = detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using Count = detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  std::error_code ignored;  // a socket without an option still works
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(Idle(kProbeIdleS), ignored);
  socket.set_option(Interval(kProbeIntervalS), ignored);
  socket.set_option(Count(kProbes), ignored);
  socket.set_option(Integer(kUserTimeoutMs), ignored);
}

void CloseWithReset(asio::ip::tcp::socket& socket) {
  std::error_code ignored;  // the socket is given up in any case
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace mangohold
