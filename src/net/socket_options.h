// Socket options that make dead and silent peers show within seconds.
#pragma once

#include <asio/ip/tcp.hpp>

#include "core/clock.h"

namespace mangohold {

// Unacknowledged bytes and unanswered keep-alive probes close the connection
// after about three seconds; small writes go out at once.
void SetPeerOptions(asio::ip::tcp::socket& socket);
// Closes the connection with a reset, so that nothing sent so far can pass for
// a complete message.
void CloseWithReset(asio::ip::tcp::socket& socket);

}  // namespace mangohold
