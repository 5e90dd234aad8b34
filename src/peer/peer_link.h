// An HTTP/2 connection to another process of the system that reconnects
// automatically, with jittered exponential backoff, and carries calls as
// streams.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/counters.h"
#include "core/ids.h"
#include "net/event_loop.h"
#include "peer/http2_session.h"

namespace mangohold {

// To be used on the event loop's thread only.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  struct Options {
    Endpoint peer;
    Duration connect_timeout = std::chrono::milliseconds(500);
    Duration initial_retry = std::chrono::milliseconds(50);
    Duration max_retry = std::chrono::milliseconds(1'000);
  };
  // `on_link` is called with true whenever the link is established, and with
  // false when it is lost or when the first of several attempts in a row fails.
  PeerLink(EventLoop& loop, Options options,
           std::function<void(bool is_up)> on_link, Counters& counters);

  void Start();
  // Closes the connection and stops reconnecting.
  void Stop();
  bool is_up() const { return session_ != nullptr && session_->is_open(); }
  const Endpoint& peer() const { return options_.peer; }

  // Opens a stream with a message in its head. Returns null while the link is
  // down.
  Http2StreamPtr Open(std::string_view path, const std::string& message,
                      Http2Handlers handlers);
  // Sends a message in the head. `on_reply` gets the message in the head of the
  // reply, or nothing if the link is down or the stream broke.
  void Call(std::string_view path, const std::string& message,
            std::function<void(std::optional<std::string>)> on_reply);
  // Like Call, but sends both messages as stream data, so they may be of any
  // size.
  void CallWithBody(std::string_view path, const std::string& body,
                    std::function<void(std::optional<std::string>)> on_reply);
  // Calls `on_up` with true once the link is up, or with false after `limit`.
  // It is called at once if the link is up already or `limit` isn't positive.
  void WhenUp(Duration limit, std::function<void(bool)> on_up);

 private:
  struct PendingReply;

  void Send(std::string_view path, const std::string& message,
            const std::string& body,
            const std::shared_ptr<PendingReply>& pending,
            Http2Handlers handlers);
  void Connect();
  void OnConnected(Http2SessionPtr session);
  void ScheduleConnect();

  EventLoop& loop_;
  Options options_;
  std::function<void(bool is_up)> on_link_;
  Counters& counters_;
  Http2SessionPtr session_;
  int failures_ = 0;
  bool is_stopped_ = false;
};

using PeerLinkPtr = std::shared_ptr<PeerLink>;

}  // namespace mangohold
