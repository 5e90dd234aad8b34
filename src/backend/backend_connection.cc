#include "backend/backend_connection.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <utility>

#include "net/endpoint.h"
#include "net/field_rules.h"
#include "net/http_status.h"
#include "net/socket_options.h"

namespace mangohold {
namespace {

constexpr Millis kConnectTimeout{600};
// How long an idle connection is reused if the backend server doesn't announce
// a timeout of its own.
constexpr Millis kDefaultIdleTimeout{3'000};
// Subtracted from an announced timeout, so that a request isn't sent on a
// connection that the server is about to close.
constexpr Millis kIdleTimeoutMargin{600};
constexpr std::size_t kMaxCarried = 16;
// Of interim and foreign responses in one exchange. A late copy of a whole
// answer passes; a server that sends more isn't about to answer.
constexpr std::size_t kMaxStrayBytes = 1U << 20U;
constexpr int kMaxStrayResponses = 16;

// The "timeout" of the Keep-Alive field less the margin, or the default if the
// field states none.
Millis IdleTimeoutOf(const HttpFields& fields) {
  constexpr std::string_view kName = "timeout=";
  const std::string_view value = FieldValue(fields, "Keep-Alive");
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos) return kDefaultIdleTimeout;
  int seconds = 0;
  std::from_chars(value.data() + at + kName.size(), value.data() + value.size(),
                  seconds);
  return std::max(Millis(0),
                  std::chrono::seconds(seconds) - kIdleTimeoutMargin);
}

}  // namespace

BackendConnection::BackendConnection(asio::io_context& io,
                                     const Endpoint& endpoint,
                                     std::function<void()> on_closed)
    : socket_(io),
      connect_timer_(io),
      endpoint_(endpoint),
      on_closed_(std::move(on_closed)),
      parser_(Http1Parser::Kind::kResponse, *this) {}

void BackendConnection::Send(Exchange exchange) {
  exchange_ = std::move(exchange);
  ++requests_;
  if (phase_ == Phase::kIdle) idle_before_ = BootNow() - idle_since_;
  carried_.push_back(exchange_.id);
  if (carried_.size() > kMaxCarried) carried_.pop_front();
  may_have_sent_ = false;
  has_sent_request_ = false;
  stray_bytes_ = 0;
  stray_responses_ = 0;
  is_foreign_ = false;
  is_interim_ = false;
  has_head_ = false;
  parser_.Reset(exchange_.is_head);
  if (phase_ == Phase::kNew) return Connect();
  phase_ = Phase::kBusy;
  Write();
}

void BackendConnection::Connect() {
  phase_ = Phase::kConnecting;
  const HostPort target = ParseEndpoint(endpoint_);
  std::error_code error;
  const auto address = asio::ip::make_address(target.host, error);
  if (error) {
    return asio::post(socket_.get_executor(),
                      [self = shared_from_this()] { self->Fail(); });
  }
  connect_timer_.expires_after(kConnectTimeout);
  connect_timer_.async_wait(
      [self = shared_from_this()](const std::error_code& timer_error) {
        if (timer_error || self->phase_ != Phase::kConnecting) return;
        self->Fail();
      });
  socket_.async_connect(
      {address, target.port},
      [self = shared_from_this()](const std::error_code& connect_error) {
        if (self->phase_ != Phase::kConnecting) return;
        self->connect_timer_.cancel();
        if (connect_error) return self->Fail();
        const auto listener = self->exchange_.listener;
        if (listener == nullptr || !listener->IsStillWanted()) {
          return self->Fail();
        }
        SetPeerOptions(self->socket_);
        self->phase_ = Phase::kBusy;
        self->Write();
        self->Read();
      });
}

void BackendConnection::Write() {
  may_have_sent_ = true;
  const std::array<asio::const_buffer, 2> request = {
      asio::buffer(exchange_.request), exchange_.body == nullptr
                                           ? asio::const_buffer()
                                           : asio::buffer(*exchange_.body)};
  asio::async_write(socket_, request,
                    [self = shared_from_this()](const std::error_code& error,
                                                std::size_t size) {
                      if (self->phase_ != Phase::kBusy) return;
                      if (error) {
                        if (size == 0) self->may_have_sent_ = false;
                        return self->Fail();
                      }
                      self->has_sent_request_ = true;
                      self->exchange_.body = nullptr;
                    });
}

void BackendConnection::Read() {
  if (is_paused_ || phase_ == Phase::kClosed) return;
  reader_.Read(socket_,
               [self = shared_from_this()](const std::error_code& error,
                                           std::string_view bytes) {
                 self->OnRead(error, bytes);
               });
}

void BackendConnection::OnRead(const std::error_code& error,
                               std::string_view bytes) {
  if (phase_ == Phase::kClosed) return;
  if (error) {
    // A response without a length ends with an orderly close of the connection;
    // a reset is always a failure.
    const bool is_end = error == asio::error::eof && phase_ == Phase::kBusy &&
                        parser_.is_in_message() && parser_.FinishAtEnd() &&
                        !is_foreign_ && !is_interim_;
    keeps_alive_ = false;
    if (is_end) return FinishResponse();
    return Fail();
  }
  // Bytes arrived without a request in progress.
  if (phase_ != Phase::kBusy) return Fail();
  Consume(bytes);
  Read();
}

void BackendConnection::Consume(std::string_view data) {
  while (!data.empty() && phase_ == Phase::kBusy) {
    is_message_complete_ = false;
    const std::size_t used = parser_.Feed(data);
    data.remove_prefix(used);
    if (phase_ != Phase::kBusy) return;
    // Bytes that don't begin a response are none; a response that goes wrong
    // later has been broken off.
    if (parser_.has_failed()) {
      return has_head_ ? Fail() : FailWith(ExchangeFailure::kNoAnswer);
    }
    if (!TakeStray(used)) return FailWith(ExchangeFailure::kNoAnswer);
    if (!is_message_complete_) continue;
    if (is_foreign_ || is_interim_) {
      parser_.Reset(exchange_.is_head);
      continue;
    }
    // Bytes after the response belong to no request, so the connection can't be
    // reused.
    if (!data.empty()) keeps_alive_ = false;
    return FinishResponse();
  }
}

bool BackendConnection::TakeStray(std::size_t bytes) {
  if (!is_foreign_ && !is_interim_) return true;
  stray_bytes_ += bytes;
  if (is_message_complete_) ++stray_responses_;
  return stray_bytes_ <= kMaxStrayBytes &&
         stray_responses_ <= kMaxStrayResponses;
}

void BackendConnection::OnHead(Http1Head head) {
  is_interim_ = IsInterimStatus(head.status);
  if (is_interim_) return;
  const auto listener = exchange_.listener;
  if (listener == nullptr) return;
  is_foreign_ = !listener->IsOwnResponse(head.status, head.fields);
  if (is_foreign_) {
    keeps_alive_ = false;
    return;
  }
  has_head_ = true;
  keeps_alive_ = keeps_alive_ && head.keeps_alive;
  idle_timeout_ = IdleTimeoutOf(head.fields);
  listener->OnBackendHead(head.status, head.fields);
}

void BackendConnection::OnBody(std::string_view data) {
  if (is_foreign_ || is_interim_ || phase_ != Phase::kBusy) return;
  const auto listener = exchange_.listener;
  if (listener != nullptr) listener->OnBackendBody(data);
}

void BackendConnection::OnMessageEnd() { is_message_complete_ = true; }

// The connection is reused only if the whole request has been sent. If the
// response came earlier, unsent bytes would precede the next request. A pause
// ends with its response: an idle connection is read, so that its close is
// noticed and the next response arrives.
void BackendConnection::FinishResponse() {
  is_paused_ = false;
  const auto listener = std::exchange(exchange_.listener, nullptr);
  if (keeps_alive_ && has_sent_request_) {
    phase_ = Phase::kIdle;
    idle_since_ = BootNow();
  } else {
    Close();
  }
  if (listener != nullptr) listener->OnBackendEnd();
}

void BackendConnection::Fail() {
  FailWith(may_have_sent_ ? ExchangeFailure::kBroken
                          : ExchangeFailure::kNotSent);
}

void BackendConnection::FailWith(ExchangeFailure failure) {
  if (phase_ == Phase::kClosed) return;
  const auto listener = std::exchange(exchange_.listener, nullptr);
  const bool was_busy = phase_ == Phase::kBusy || phase_ == Phase::kConnecting;
  Close();
  if (was_busy && listener != nullptr) {
    listener->OnBackendFailure(failure);
  }
}

void BackendConnection::Cancel() {
  exchange_.listener = nullptr;
  Close();
}

void BackendConnection::Close() {
  if (phase_ == Phase::kClosed) return;
  phase_ = Phase::kClosed;
  connect_timer_.cancel();
  CloseWithReset(socket_);
  const auto closed = std::exchange(on_closed_, nullptr);
  if (closed) closed();
}

void BackendConnection::Pause() { is_paused_ = true; }

void BackendConnection::Resume() {
  if (!is_paused_) return;
  is_paused_ = false;
  Read();
}

bool BackendConnection::HasCarried(const RequestId& id) const {
  return std::ranges::find(carried_, id) != carried_.end();
}

bool BackendConnection::IsReusable(TimePoint now) const {
  return phase_ == Phase::kIdle && now - idle_since_ < idle_timeout_;
}

}  // namespace mangohold
