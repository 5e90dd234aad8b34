#include "caller/caller_connection.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <bit>
#include <charconv>
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
constexpr int kUnavailable = 503;
constexpr Millis kLinger{1'000};
// What a connection holds besides bodies and answers: the buffer of reads, and
// its parser.
constexpr std::size_t kConnectionBytes = 20U << 10U;
// A body's memory is accounted for in steps of this size. So many new bytes are
// also the least that counts as progress: a link of 1 Mbit/s takes 0.13 s for
// them, and `idle_timeout` allows seconds.
constexpr std::size_t kStep = 16U << 10U;
// Larger bodies get their room at once, since the memory of growing strings is
// up to three times their size. Only the bytes that have come use memory.
constexpr std::size_t kSmallBody = 64U << 10U;
constexpr std::size_t kMostReserved = 16U << 20U;

// What a body of `bytes` uses.
std::size_t MemoryOfBody(std::size_t bytes) {
  if (bytes == 0) return 0;
  const std::size_t steps = (bytes + kStep - 1) / kStep;
  return kStep * (bytes > kSmallBody ? steps : std::bit_ceil(steps));
}

// An assignment of an empty string would keep the memory.
void Release(std::string& text) { std::string().swap(text); }

// The parser has checked the field.
std::size_t DeclaredLength(const HttpFields& fields) {
  const std::string_view text = FieldValue(fields, "Content-Length");
  std::uint64_t length = 0;
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length;
}

}  // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   const Host& host)
    : socket_(std::move(socket)),
      host_(host),
      parser_(Http1Parser::Kind::kRequest, *this),
      phase_began_(BootNow()),
      held_(
          host.memory, [this](Eviction reason) { OnEvicted(reason); },
          phase_began_) {}

bool CallerConnection::HasRoom() {
  return held_.Resize(kConnectionBytes, BootNow());
}

void CallerConnection::Start() {
  SetPeerOptions(socket_);
  Read();
}

void CallerConnection::Read() {
  if (phase_ == Phase::kClosed) return;
  if (input_.size() > kMostAhead && phase_ == Phase::kAnswering) return;
  // After a refusal the rest stays unread until the connection is closed.
  if (phase_ == Phase::kLingering && refusal_ != 0) return;
  reader_.Read(socket_,
               [self = shared_from_this()](const std::error_code& error,
                                           std::string_view bytes) {
                 self->OnRead(error, bytes);
               });
}

void CallerConnection::OnRead(const std::error_code& error,
                              std::string_view bytes) {
  if (phase_ == Phase::kClosed) return;
  if (error) return Drop(ConnectionEnd::kCallerClosed);
  if (phase_ == Phase::kLingering) {
    discarded_ += bytes.size();
    return Read();
  }
  if (input_.empty() && CanParse()) {
    input_.append(bytes.substr(Feed(bytes)));
    OnFed();
  } else {
    input_.append(bytes);
    Parse();
  }
  Read();
}

void CallerConnection::Parse() {
  if (!CanParse() || input_.empty()) return;
  input_.erase(0, Feed(input_));
  if (input_.empty()) Release(input_);
  OnFed();
}

std::size_t CallerConnection::Feed(std::string_view data) {
  if (phase_ == Phase::kIdle) {
    phase_ = Phase::kReading;
    phase_began_ = BootNow();
    held_.OnProgress(phase_began_);
    held_.Protect(Protection::kNone);
    request_bytes_ = 0;
    is_handed_out_ = false;
  }
  const std::size_t bytes = parser_.Feed(data);
  request_bytes_ += bytes;
  return bytes;
}

void CallerConnection::OnFed() {
  FindFault();
  if (refusal_ != 0) return RefuseAndClose(refusal_reason_, refusal_);
  if (!has_whole_message_) return UpdateHeld();
  has_whole_message_ = false;
  phase_ = Phase::kAnswering;
  held_.Protect(Protection::kWhileActive);
  message_.arrived = BootNow();
  CallerMessage message = std::exchange(message_, {});
  progress_ = 0;
  is_handed_out_ = true;
  UpdateHeld();  // whoever takes the message accounts for it
  host_.on_request(shared_from_this(), std::move(message));
}

void CallerConnection::FindFault() {
  const CallerLimits& limits = host_.limits();
  if (parser_.has_failed()) {
    Refuse(Reason::kBadRequest, kBadRequest);
  } else if (parser_.head_bytes() > limits.max_header_bytes) {
    Refuse(Reason::kBadRequest, kFieldsTooLarge);
  }
}

void CallerConnection::Refuse(Reason reason, int status) {
  refusal_ = status;
  refusal_reason_ = reason;
}

void CallerConnection::OnHead(Http1Head head) {
  message_.method = std::move(head.method);
  message_.target = std::move(head.target);
  message_.fields = std::move(head.fields);
  message_.body.clear();
  keeps_alive_ = head.keeps_alive;
  progress_ = 0;
  declared_ = head.has_length ? DeclaredLength(message_.fields) : 0;
  if (declared_ > host_.limits().max_body_bytes) {
    return Refuse(Reason::kBodyTooLarge, kContentTooLarge);
  }
  if (HasToken(FieldValue(message_.fields, "Expect"), "100-continue")) {
    Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void CallerConnection::OnBody(std::string_view data) {
  if (refusal_ != 0) return;
  const std::size_t size = message_.body.size() + data.size();
  if (size > host_.limits().max_body_bytes) {
    return Refuse(Reason::kBodyTooLarge, kContentTooLarge);
  }
  if (!HoldBody(size)) return Refuse(Reason::kMemoryLimit, kUnavailable);
  ReserveBody(size);
  message_.body.append(data);
}

// Asks for memory once in a step.
bool CallerConnection::HoldBody(std::size_t bytes) {
  if (bytes - progress_ >= kStep) {
    progress_ = bytes;
    phase_began_ = BootNow();
    held_.OnProgress(phase_began_);
  }
  const std::size_t held = kConnectionBytes + MemoryOfBody(bytes);
  return held <= held_.bytes() || held_.Resize(held, BootNow());
}

void CallerConnection::ReserveBody(std::size_t bytes) {
  std::string& body = message_.body;
  if (bytes <= body.capacity()) return;
  const std::size_t most =
      declared_ > 0 ? declared_ : host_.limits().max_body_bytes;
  const std::size_t wanted = bytes <= kSmallBody
                                 ? MemoryOfBody(bytes)
                                 : std::max(kMostReserved, 2 * bytes);
  body.reserve(std::max(bytes, std::min(most, wanted)));
}

// States what is held outside of a body that is growing.
void CallerConnection::UpdateHeld() {
  const std::size_t held = kConnectionBytes +
                           MemoryOfBody(message_.body.size()) + input_.size() +
                           output_.size() + writing_.size();
  held_.Set(held);
}

// Others need the memory. A request that has been read is not this
// connection's to end.
void CallerConnection::OnEvicted(Eviction reason) {
  switch (phase_) {
    case Phase::kReading:
      if (reason == Eviction::kStalled) {
        RefuseAndClose(Reason::kBodyTooSlow, kRequestTimeout);
      } else {
        RefuseAndClose(Reason::kMemoryLimit, kUnavailable);
      }
      break;
    case Phase::kAnswering:
    case Phase::kIdle:
    case Phase::kLingering:
      // The caller reads its answer too slowly.
      ReportRefusal(Reason::kMemoryLimit, 0);
      Drop(ConnectionEnd::kEvicted);
      break;
    case Phase::kClosed:
      break;
  }
}

void CallerConnection::OnMessageEnd() { has_whole_message_ = true; }

void CallerConnection::ReportRefusal(Reason reason, int status) {
  ReportRefused({.reason = reason,
                 .status = status,
                 .body_bytes = message_.body.size(),
                 .held_bytes = host_.memory.bytes()},
                host_.counters);
}

// What was read is freed before the answer is written, and nothing more is
// read.
void CallerConnection::RefuseAndClose(Reason reason, int status) {
  ReportRefusal(reason, status);
  Refuse(reason, status);
  Release(message_.body);
  Release(input_);
  held_.Set(kConnectionBytes);
  phase_ = Phase::kAnswering;
  closes_ = true;
  HttpFields fields;
  if (status == kUnavailable) fields.push_back({"Retry-After", "1"});
  const std::string text =
      reason == Reason::kBadRequest ? "" : std::string(Name(reason)) + "\n";
  Reply(status, std::move(fields), text);
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
  UpdateHeld();
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
  ReportEnd(ConnectionEnd::kAborted);
  phase_ = Phase::kClosed;
  CloseWithReset(socket_);
  Free();
}

void CallerConnection::Send(std::string_view data) {
  if (is_written()) held_.OnProgress(BootNow());
  output_.append(data);
  WriteNext();
  UpdateHeld();
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
  if (error && phase_ != Phase::kClosed) Drop(ConnectionEnd::kCallerClosed);
  writing_.clear();
  // Large answers are rare; their room is not kept for the next one.
  if (writing_.capacity() > kSmallBody) Release(writing_);
  if (phase_ == Phase::kClosed) return;
  held_.OnProgress(BootNow());
  WriteNext();
  UpdateHeld();
  if (listener_.on_drained && !is_congested()) {
    const auto drained = listener_.on_drained;
    drained();
  }
}

// Ends the connection and tells whoever answers its request.
void CallerConnection::Drop(ConnectionEnd cause) {
  Close(cause);
  const auto gone = std::exchange(listener_, {}).on_gone;
  if (gone) gone();
}

void CallerConnection::Close(ConnectionEnd cause) {
  if (phase_ != Phase::kClosed) ReportEnd(cause);
  phase_ = Phase::kClosed;
  std::error_code ignored;  // nothing more is sent on it
  socket_.close(ignored);
  Free();
}

// An idle connection without a byte on its way ends without a report.
void CallerConnection::ReportEnd(ConnectionEnd cause) const {
  std::error_code failed;  // then nothing more can be read
  const std::size_t unread = socket_.available(failed);
  const UnfinishedEnd end = {
      .cause = cause,
      .request_bytes = request_bytes_,
      .was_handed_out = is_handed_out_,
      .was_answered = phase_ == Phase::kIdle || phase_ == Phase::kLingering,
      .unwritten_bytes = output_.size() + writing_.size(),
      .ahead_bytes = discarded_ + input_.size() + unread,
      // The system resets a connection that is closed with unread bytes.
      .is_reset = cause == ConnectionEnd::kAborted || unread > 0};
  if (!end.was_answered || end.unwritten_bytes > 0 || end.ahead_bytes > 0) {
    ReportUnfinished(end, host_.counters);
  }
}

// The buffer that is being written stays until its handler has run.
void CallerConnection::Free() {
  Release(message_.body);
  Release(input_);
  Release(output_);
  held_.Set(0);
}

void CallerConnection::CloseIfOverdue(TimePoint now) {
  const CallerLimits& limits = host_.limits();
  const Duration spent = now - phase_began_;
  const Duration reading_limit =
      parser_.has_head() ? limits.idle_timeout : limits.header_timeout;
  const bool is_unused =
      (phase_ == Phase::kIdle && spent > limits.idle_timeout) ||
      (phase_ == Phase::kLingering && spent > kLinger);
  if (phase_ == Phase::kReading && spent > reading_limit) {
    RefuseAndClose(
        parser_.has_head() ? Reason::kBodyTooSlow : Reason::kBadRequest,
        kRequestTimeout);
  } else if (is_unused && is_written()) {
    Close(ConnectionEnd::kOverdue);
  }
}

void CallerConnection::Retire() {
  if (is_idle()) {
    Close(ConnectionEnd::kLeaving);
  } else {
    closes_ = true;
  }
}

}  // namespace mangohold
