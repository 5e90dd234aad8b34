#include "peer/agent_link.h"

#include <algorithm>

#include "core/random.h"

namespace mangohold {
namespace {

constexpr Duration kUpCheckInterval = std::chrono::milliseconds(20);

// What has arrived of the reply to one call.
struct PendingReply {
  std::optional<std::string> message;
  std::function<void(std::optional<std::string>)> on_reply;

  void Finish() {
    const auto callback = std::move(on_reply);
    on_reply = nullptr;
    if (callback) callback(std::move(message));
  }
};

}  // namespace

AgentLink::AgentLink(EventLoop& loop, Options options, Handlers handlers,
                     Counters& counters)
    : loop_(loop),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      counters_(counters) {}

void AgentLink::Start() { Connect(); }

void AgentLink::Stop() {
  is_stopped_ = true;
  if (session_ != nullptr) session_->Close();
}

void AgentLink::Connect() {
  if (is_stopped_) return;
  ConnectHttp2(loop_.io(), options_.agent, options_.connect_timeout,
               [weak = weak_from_this()](Http2SessionPtr session) {
                 const auto self = weak.lock();
                 if (self != nullptr) self->OnConnected(std::move(session));
               });
}

void AgentLink::OnConnected(Http2SessionPtr session) {
  if (is_stopped_) return;
  if (session == nullptr) {
    if (failures_++ == 0) handlers_.on_link(false);
    ScheduleConnect();
    return;
  }
  failures_ = 0;
  counters_.Count(Event::kPeerConnects);
  session_ = std::move(session);
  session_->SetOnClosed([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr || self->is_stopped_) return;
    self->counters_.Count(Event::kPeerDisconnects);
    self->handlers_.on_link(false);
    self->Connect();
  });
  handlers_.on_link(true);
  AskStatus(session_);
}

// Half of the delay is random, so that entries don't reconnect to a returning
// agent in step.
void AgentLink::ScheduleConnect() {
  const int doublings = std::min(failures_, 6);
  const Duration bound =
      std::min(options_.first_retry * (1 << doublings), options_.longest_retry);
  const auto half = static_cast<std::uint64_t>(bound.count() / 2);
  const Duration delay =
      bound / 2 + Duration(static_cast<Duration::rep>(RandomSeed() % half));
  loop_.After(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Connect();
  });
}

// Asks again and again while `session` is the link's present one.
void AgentLink::AskStatus(const Http2SessionPtr& session) {
  if (is_stopped_ || session_ != session || !is_up()) return;
  const std::weak_ptr<Http2Session> asked = session;
  Call(kStatusPath, Encode(StatusRequest{.instance = options_.entry}),
       [weak = weak_from_this(),
        asked](const std::optional<std::string>& reply) {
         const auto self = weak.lock();
         if (self == nullptr || !reply) return;
         const auto status = Decode<AgentStatus>(*reply);
         if (status.ok()) self->handlers_.on_status(*status);
         self->loop_.After(self->options_.status_interval, [weak, asked] {
           const auto alive = weak.lock();
           const auto same = asked.lock();
           if (alive != nullptr && same != nullptr) alive->AskStatus(same);
         });
       });
}

Http2StreamPtr AgentLink::Open(std::string_view path,
                               const std::string& message,
                               Http2Handlers handlers) {
  if (!is_up()) return nullptr;
  return session_->Open({{":method", "POST"},
                         {":scheme", "http"},
                         {":authority", options_.agent.value()},
                         {":path", std::string(path)},
                         {std::string(kMessageField), message}},
                        std::move(handlers));
}

void AgentLink::Call(std::string_view path, const std::string& message,
                     std::function<void(std::optional<std::string>)> on_reply) {
  auto pending = std::make_shared<PendingReply>();
  pending->on_reply = std::move(on_reply);
  const auto stream = Open(
      path, message,
      {.on_head =
           [pending](const HttpFields& head) {
             pending->message = std::string(FieldValue(head, kMessageField));
           },
       .on_data = nullptr,
       .on_end = [pending](const HttpFields&) { pending->Finish(); },
       .on_broken =
           [pending] {
             pending->message.reset();
             pending->Finish();
           },
       .on_writable = nullptr});
  if (stream == nullptr) {
    loop_.Post([pending] { pending->Finish(); });
    return;
  }
  stream->SendEnd();
}

void AgentLink::WhenUp(Duration limit, std::function<void(bool)> on_up) {
  if (is_up() || limit <= Duration::zero()) {
    on_up(is_up());
    return;
  }
  loop_.After(kUpCheckInterval,
              [weak = weak_from_this(), limit, on_up = std::move(on_up)] {
                const auto self = weak.lock();
                if (self == nullptr) return on_up(false);
                self->WhenUp(limit - kUpCheckInterval, on_up);
              });
}

}  // namespace mangohold
