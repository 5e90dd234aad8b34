// Starts HTTP/2 sessions on connected sockets, for those who connect or accept.
#pragma once

#include <asio/ip/tcp.hpp>
#include <memory>

#include "peer/http2_session.h"

namespace mangohold {

enum class Http2Role { kClient, kServer };

// The session ends with its connection, or with the last `Http2Session` of it.
// `accept` may be empty: the peer opens no streams.
std::shared_ptr<Http2Session::Impl> StartHttp2(asio::ip::tcp::socket socket,
                                               Http2Role role,
                                               Http2Session::OnStream accept);
void CloseHttp2(Http2Session::Impl& session);

}  // namespace mangohold
