#include "peer/peer_link.h"

#include <algorithm>

#include "core/random.h"
#include "peer/http2_endpoints.h"

namespace mangohold {
namespace {

// How often WhenUp polls the link.
constexpr Duration kUpCheckInterval = std::chrono::milliseconds(20);

}  // namespace

// A call whose reply is outstanding, with the part of the reply received so
// far.
struct PeerLink::PendingReply {
  std::string message;
  std::function<void(std::optional<std::string>)> on_reply;
  std::weak_ptr<Http2Stream> stream;

  void AppendData(std::string_view data) {
    message.append(data);
    if (const auto open = stream.lock()) open->Consume(data.size());
  }
  void Fail() { Complete(std::nullopt); }
  void Finish() { Complete(std::move(message)); }
  void Complete(std::optional<std::string> reply) {
    const auto callback = std::move(on_reply);
    on_reply = nullptr;
    if (callback) callback(std::move(reply));
  }
};

PeerLink::PeerLink(EventLoop& loop, Options options,
                   std::function<void(bool is_up)> on_link, Counters& counters)
    : loop_(loop),
      options_(std::move(options)),
      on_link_(std::move(on_link)),
      counters_(counters) {}

void PeerLink::Start() { Connect(); }

void PeerLink::Stop() {
  is_stopped_ = true;
  if (session_ != nullptr) session_->Close();
}

void PeerLink::Connect() {
  if (is_stopped_) return;
  ConnectHttp2(loop_.io(), options_.peer, options_.connect_timeout,
               [weak = weak_from_this()](Http2SessionPtr session) {
                 const auto self = weak.lock();
                 if (self != nullptr) self->OnConnected(std::move(session));
               });
}

void PeerLink::OnConnected(Http2SessionPtr session) {
  if (is_stopped_) return;
  if (session == nullptr) {
    if (failures_++ == 0) on_link_(false);
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
    self->on_link_(false);
    self->Connect();
  });
  on_link_(true);
}

// Exponential backoff. Half of the delay is random, so that entries don't all
// reconnect to a restarted agent at the same time.
void PeerLink::ScheduleConnect() {
  const int doublings = std::min(failures_, 6);
  const Duration bound =
      std::min(options_.initial_retry * (1 << doublings), options_.max_retry);
  const auto half = static_cast<std::uint64_t>(bound.count() / 2);
  const Duration delay =
      bound / 2 + Duration(static_cast<Duration::rep>(RandomSeed() % half));
  loop_.After(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Connect();
  });
}

Http2StreamPtr PeerLink::Open(std::string_view path, const std::string& message,
                              Http2Handlers handlers) {
  if (!is_up()) return nullptr;
  return session_->Open({{":method", "POST"},
                         {":scheme", "http"},
                         {":authority", options_.peer.value()},
                         {":path", std::string(path)},
                         {std::string(kMessageField), message}},
                        std::move(handlers));
}

void PeerLink::Call(std::string_view path, const std::string& message,
                    std::function<void(std::optional<std::string>)> on_reply) {
  auto pending = std::make_shared<PendingReply>();
  pending->on_reply = std::move(on_reply);
  const auto on_head = [pending](const HttpFields& head) {
    pending->message = std::string(FieldValue(head, kMessageField));
  };
  Send(path, message, "", pending, {.on_head = on_head});
}

void PeerLink::CallWithBody(
    std::string_view path, const std::string& body,
    std::function<void(std::optional<std::string>)> on_reply) {
  auto pending = std::make_shared<PendingReply>();
  pending->on_reply = std::move(on_reply);
  const auto on_data = [pending](std::string_view data) {
    pending->AppendData(data);
  };
  Send(path, "", body, pending, {.on_data = on_data});
}

void PeerLink::Send(std::string_view path, const std::string& message,
                    const std::string& body,
                    const std::shared_ptr<PendingReply>& pending,
                    Http2Handlers handlers) {
  handlers.on_end = [pending](const HttpFields&) { pending->Finish(); };
  handlers.on_broken = [pending] { pending->Fail(); };
  const auto stream = Open(path, message, std::move(handlers));
  if (stream == nullptr) {
    loop_.Post([pending] { pending->Fail(); });
    return;
  }
  pending->stream = stream;
  stream->SendData(body);
  stream->SendEnd();
}

void PeerLink::WhenUp(Duration limit, std::function<void(bool)> on_up) {
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
