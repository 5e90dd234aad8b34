#include "caller/caller_connection.h"

#include <asio/post.hpp>
#include <asio/write.hpp>
#include <utility>

#include "net/field_rules.h"
#include "net/http1_text.h"
#include "net/socket_options.h"

namespace mangohold {
namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kFieldsTooLarge = 431;
constexpr Millis kLinger{1'000};

}  // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   const Host& host)
    : socket_(std::move(socket)),
      host_(host),
      parser_(Http1Parser::Kind::kRequest, *this),
      phase_began_(BootNow()) {}

void CallerConnection::Start() {
  SetPeerOptions(socket_);
  Read();
}

void CallerConnection::Read() {
  if (phase_ == Phase::kClosed) return;
  if (input_.size() > kMostAhead && phase_ == Phase::kAnswering) return;
  reader_.Read(socket_,
               [self = shared_from_this()](const std::error_code& error,
                                           std::string_view bytes) {
                 self->OnRead(error, bytes);
               });
}

void CallerConnection::OnRead(const std::error_code& error,
                              std::string_view bytes) {
  if (phase_ == Phase::kClosed) return;
  if (error) return Drop();
  if (phase_ == Phase::kLingering) return Read();
  input_.append(bytes);
  Parse();
  Read();
}

void CallerConnection::Parse() {
  if (phase_ != Phase::kIdle && phase_ != Phase::kReading) return;
  if (input_.empty()) return;
  if (phase_ == Phase::kIdle) {
    phase_ = Phase::kReading;
    phase_began_ = BootNow();
  }
  const std::size_t used = parser_.Feed(input_);
  input_.erase(0, used);
  if (IsRequestBad()) return RefuseAndClose(refusal_);
  if (!has_whole_message_) return;
  has_whole_message_ = false;
  phase_ = Phase::kAnswering;
  message_.arrived = BootNow();
  host_.on_request(shared_from_this(), std::exchange(message_, {}));
}

bool CallerConnection::IsRequestBad() {
  const CallerLimits& limits = host_.limits();
  if (parser_.has_failed()) {
    refusal_ = kBadRequest;
  } else if (parser_.head_bytes() > limits.max_header_bytes) {
    refusal_ = kFieldsTooLarge;
  }
  return refusal_ != 0;
}

void CallerConnection::OnHead(Http1Head head) {
  message_.method = std::move(head.method);
  message_.target = std::move(head.target);
  message_.fields = std::move(head.fields);
  message_.body.clear();
  keeps_alive_ = head.keeps_alive;
  if (HasToken(FieldValue(message_.fields, "Expect"), "100-continue")) {
    Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void CallerConnection::OnBody(std::string_view data) {
  if (message_.body.size() + data.size() > host_.limits().max_body_bytes) {
    refusal_ = kContentTooLarge;
    return;
  }
  message_.body.append(data);
}

void CallerConnection::OnMessageEnd() { has_whole_message_ = true; }

void CallerConnection::RefuseAndClose(int status) {
  host_.on_refused(status);
  phase_ = Phase::kAnswering;
  closes_ = true;
  Reply(status, {}, "");
}

void CallerConnection::AddConnectionFields(HttpFields& fields) {
  closes_ = closes_ || !keeps_alive_ || host_.closes_after_answer();
  if (closes_) {
    fields.push_back({"Connection", "close"});
    return;
  }
  const auto idle = std::chrono::duration_cast<std::chrono::seconds>(
      host_.limits().idle_timeout);
  fields.push_back({"Keep-Alive", "timeout=" + std::to_string(idle.count())});
}

void CallerConnection::Reply(int status, HttpFields fields,
                             std::string_view body) {
  ReplyHead(status, std::move(fields), std::to_string(body.size()));
  if (phase_ == Phase::kClosed) return;
  output_.append(body);
  WriteNext();
}

void CallerConnection::ReplyHead(int status, HttpFields fields,
                                 std::string_view length) {
  if (phase_ != Phase::kAnswering) return;
  fields.push_back({"Content-Length", std::string(length)});
  AddConnectionFields(fields);
  output_.append(ResponseText(status, fields));
  EndAnswer();
}

void CallerConnection::BeginStream(int status, HttpFields fields) {
  if (phase_ != Phase::kAnswering) return;
  fields.push_back({"Transfer-Encoding", "chunked"});
  AddConnectionFields(fields);
  Send(ResponseText(status, fields));
}

void CallerConnection::WriteStream(std::string_view data) {
  if (phase_ != Phase::kAnswering || data.empty()) return;
  Send(ChunkText(data));
}

void CallerConnection::EndStream() {
  if (phase_ != Phase::kAnswering) return;
  output_.append(ChunkText(""));
  EndAnswer();
}

// The answer is in the output. What follows waits until it is written, so that
// the handler isn't entered again from inside itself.
void CallerConnection::EndAnswer() {
  listener_ = {};
  phase_ = closes_ ? Phase::kLingering : Phase::kIdle;
  phase_began_ = BootNow();
  parser_.Reset();
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->WriteNext();
    self->Parse();
    self->Read();
  });
}

void CallerConnection::Abort() {
  listener_ = {};
  if (phase_ == Phase::kClosed) return;
  phase_ = Phase::kClosed;
  CloseWithReset(socket_);
}

void CallerConnection::Send(std::string_view data) {
  output_.append(data);
  WriteNext();
}

void CallerConnection::WriteNext() {
  if (phase_ == Phase::kClosed || !writing_.empty()) return;
  if (output_.empty()) {
    if (phase_ == Phase::kLingering) {
      std::error_code ignored;  // the caller may have gone
      socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
    return;
  }
  std::swap(writing_, output_);
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = shared_from_this()](const std::error_code& error,
                                                std::size_t /*size*/) {
                      self->OnWritten(error);
                    });
}

void CallerConnection::OnWritten(const std::error_code& error) {
  writing_.clear();
  if (phase_ == Phase::kClosed) return;
  if (error) return Drop();
  WriteNext();
  if (listener_.on_drained && !is_congested()) {
    const auto drained = listener_.on_drained;
    drained();
  }
}

// The caller has gone, or the connection is broken.
void CallerConnection::Drop() {
  Close();
  const auto gone = std::exchange(listener_, {}).on_gone;
  if (gone) gone();
}

void CallerConnection::Close() {
  phase_ = Phase::kClosed;
  std::error_code ignored;  // nothing more is sent on it
  socket_.close(ignored);
}

void CallerConnection::CloseIfOverdue(TimePoint now) {
  const CallerLimits& limits = host_.limits();
  const Duration spent = now - phase_began_;
  const Duration reading_limit =
      parser_.has_head() ? limits.idle_timeout : limits.header_timeout;
  const bool is_written = writing_.empty() && output_.empty();
  const bool is_unused =
      (phase_ == Phase::kIdle && spent > limits.idle_timeout) ||
      (phase_ == Phase::kLingering && spent > kLinger);
  if (phase_ == Phase::kReading && spent > reading_limit) {
    RefuseAndClose(kRequestTimeout);
  } else if (is_unused && is_written) {
    Close();
  }
}

void CallerConnection::Retire() {
  if (phase_ == Phase::kIdle && writing_.empty() && output_.empty()) {
    Close();
  } else {
    closes_ = true;
  }
}

}  // namespace mangohold
