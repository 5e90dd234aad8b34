#include "net/body_guard.h"

#include <http_parser.h>

#include <algorithm>
#include <utility>

namespace mangohold {
namespace {

constexpr int kStop = -1;  // makes the parser fail
// The buffer of a body that is being read doubles as it grows.
constexpr std::size_t kCopiesWhileRead = 2;
// A whole body is in the HTTP library, in the request, and in the queue of the
// stream to an agent.
constexpr std::size_t kCopiesWhenWhole = 3;
// The HTTP library keeps a record of each chunk, in a buffer that doubles.
constexpr std::size_t kBytesPerChunk = 32;
// Fewer new bytes than this are no progress. A client at 1 Mbit/s sends them in
// 0.13 s.
constexpr std::size_t kProgressBytes = 16U << 10U;

}  // namespace

struct BodyGuard::Parser {
  explicit Parser(std::size_t most) : max_body_bytes(most) { Reset(); }

  void Reset() {
    http_parser_init(&parser, HTTP_REQUEST);
    parser.data = this;
    body_bytes = 0;
    chunks = 0;
    is_done = false;
  }

  static Parser& Of(http_parser* parser) {
    return *static_cast<Parser*>(parser->data);
  }

  static int OnHead(http_parser* parser) {
    Parser& self = Of(parser);
    const bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;
    self.is_too_large =
        has_length && parser->content_length > self.max_body_bytes;
    return self.is_too_large ? kStop : 0;
  }
  static int OnBody(http_parser* parser, const char* /*data*/,
                    std::size_t size) {
    Parser& self = Of(parser);
    self.body_bytes += size;
    self.is_too_large = self.body_bytes > self.max_body_bytes;
    return self.is_too_large ? kStop : 0;
  }
  static int OnChunk(http_parser* parser) {
    ++Of(parser).chunks;
    return 0;
  }
  static int OnDone(http_parser* parser) {
    Of(parser).is_done = true;
    http_parser_pause(parser, 1);
    return 0;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings out;
      http_parser_settings_init(&out);
      out.on_headers_complete = &OnHead;
      out.on_body = &OnBody;
      out.on_chunk_header = &OnChunk;
      out.on_message_complete = &OnDone;
      return out;
    }();
    return settings;
  }

  // Parses up to the end of the message; returns the number of bytes used.
  std::size_t Feed(std::string_view data) {
    return http_parser_execute(&parser, &Settings(), data.data(), data.size());
  }
  bool has_failed() const {
    return parser.http_errno != HPE_OK && parser.http_errno != HPE_PAUSED;
  }

  std::size_t max_body_bytes;
  http_parser parser{};
  std::size_t body_bytes = 0;
  std::size_t chunks = 0;
  bool is_too_large = false;
  bool is_done = false;
};

BodyGuard::BodyGuard(MemoryBudget& budget, std::size_t max_body_bytes,
                     MemoryBudget::Evict evict)
    : budget_(budget),
      max_body_bytes_(max_body_bytes),
      evict_(std::move(evict)),
      parser_(std::make_unique<Parser>(max_body_bytes_)) {}

BodyGuard::~BodyGuard() = default;

Reason BodyGuard::OnBytes(std::string_view data, TimePoint now) {
  if (is_dropped_) return Reason::kMemoryLimit;
  while (!data.empty()) {
    if (reading_ == nullptr) {
      reading_ = std::make_shared<MemoryBudget::Holder>(budget_, evict_, now);
      message_bytes_ = 0;
      progress_bytes_ = 0;
    }
    const std::size_t used = parser_->Feed(data);
    if (parser_->has_failed()) {
      reading_.reset();
      return parser_->is_too_large ? Reason::kBodyTooLarge
                                   : Reason::kBadRequest;
    }
    data.remove_prefix(used);
    message_bytes_ += used;
    if (message_bytes_ - progress_bytes_ >= kProgressBytes) {
      progress_bytes_ = message_bytes_;
      reading_->OnProgress(now);
    }
    if (!reading_->Resize(HeldBytes(), now)) {
      reading_.reset();
      return Reason::kMemoryLimit;
    }
    if (parser_->is_done) FinishRequest(now);
  }
  return Reason::kNone;
}

// A request that has been handed out isn't evicted: it may have run.
void BodyGuard::FinishRequest(TimePoint now) {
  auto whole = std::make_shared<MemoryBudget::Holder>(budget_, nullptr, now);
  const std::size_t bytes = reading_->bytes();
  reading_.reset();
  whole->Set(bytes);
  whole_.push_back(std::move(whole));
  parser_->Reset();
}

std::size_t BodyGuard::HeldBytes() const {
  const std::size_t read = kCopiesWhileRead * message_bytes_;
  const std::size_t whole =
      parser_->is_done ? kCopiesWhenWhole * parser_->body_bytes : 0;
  return std::max(read, whole) + kBytesPerChunk * parser_->chunks;
}

void BodyGuard::Drop() {
  reading_.reset();
  is_dropped_ = true;
}

BodyGuard::Lease BodyGuard::TakeWhole() {
  if (whole_.empty()) return nullptr;
  Lease lease = std::move(whole_.front());
  whole_.pop_front();
  std::erase_if(taken_, [](const auto& taken) { return taken.expired(); });
  taken_.push_back(lease);
  return lease;
}

bool BodyGuard::is_answering() const {
  return !whole_.empty() || !std::ranges::all_of(taken_, [](const auto& taken) {
    return taken.expired();
  });
}

}  // namespace mangohold
