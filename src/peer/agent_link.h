// An entry's connection to one agent: it reconnects by itself, asks for the
// agent's status, and carries the streams of requests.
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
#include "peer/messages.h"

namespace mangohold {

class AgentLink : public std::enable_shared_from_this<AgentLink> {
 public:
  struct Options {
    InstanceId entry;  // this process
    Endpoint agent;
    Duration connect_timeout = std::chrono::milliseconds(500);
    Duration status_interval = std::chrono::milliseconds(500);
    Duration first_retry = std::chrono::milliseconds(50);
    Duration longest_retry = std::chrono::milliseconds(1'000);
  };
  struct Handlers {
    std::function<void(bool is_up)> on_link;
    std::function<void(const AgentStatus&)> on_status;
  };

  AgentLink(EventLoop& loop, Options options, Handlers handlers,
            Counters& counters);

  void Start();
  // Closes the connection and stops reconnecting.
  void Stop();
  bool is_up() const { return session_ != nullptr && session_->is_open(); }
  const Endpoint& agent() const { return options_.agent; }

  // Opens a stream with a message. Returns null while the link is down.
  Http2StreamPtr Open(std::string_view path, const std::string& message,
                      Http2Handlers handlers);
  // Sends a message and gives the reply's message, or nothing if the link
  // broke.
  void Call(std::string_view path, const std::string& message,
            std::function<void(std::optional<std::string>)> on_reply);
  // Calls back as soon as the link is up, or with false after `limit`.
  void WhenUp(Duration limit, std::function<void(bool)> on_up);

 private:
  void Connect();
  void OnConnected(Http2SessionPtr session);
  void ScheduleConnect();
  void AskStatus(const Http2SessionPtr& session);

  EventLoop& loop_;
  Options options_;
  Handlers handlers_;
  Counters& counters_;
  Http2SessionPtr session_;
  int failures_ = 0;
  bool is_stopped_ = false;
};

using AgentLinkPtr = std::shared_ptr<AgentLink>;

}  // namespace mangohold
