#include "caller/answer_relay.h"

#include <utility>

#include "caller/answer_status.h"

namespace mangohold {
namespace {

constexpr int kLeastFailure = 500;
// Answers up to this size are gathered before they go on, so that a broken one
// can be made again elsewhere. A withheld answer is read up to this size, so
// that its connection can be kept.
constexpr std::size_t kMostGathered = 1U << 20U;

}  // namespace

AnswerRelay::AnswerRelay(CallerConnection::Ptr caller, Options options,
                         MemoryBudget::Holder& memory)
    : caller_(std::move(caller)),
      options_(std::move(options)),
      memory_(memory),
      events_(options_.last_event_id) {}

void AnswerRelay::BeginAttempt() {
  status_ = 0;
  body_.clear();
  skipped_bytes_ = 0;
  way_ = Way::kWhole;
  is_not_run_ = false;
}

AnswerRelay::Way AnswerRelay::WayOf(int status, const HttpFields& fields,
                                    bool is_not_run, const Options& options) {
  if (is_not_run) return Way::kWithheld;
  if (!options.is_repeatable && PromisesNotRun(status)) return Way::kWithheld;
  const bool is_events = options.is_stream && IsEventStream(status, fields);
  return is_events ? Way::kEvents : Way::kWhole;
}

// An answer that doesn't say to which request it belongs promises nothing for
// work that must run once at most.
void AnswerRelay::OnHead(int status, HttpFields fields,
                         const AnswerFields& said) {
  status_ = status;
  fields_ = std::move(fields);
  is_not_run_ =
      said.is_certainly_not_run && (said.id || options_.is_repeatable);
  way_ = WayOf(status_, fields_, is_not_run_, options_);
}

AnswerRelay::Result AnswerRelay::OnBody(std::string_view data, TimePoint now) {
  switch (way_) {
    case Way::kWhole:
      return Gather(data, now);
    case Way::kEvents:
      return PassEvents(data);
    case Way::kBytes:
      caller_->WriteStream(data);
      return Result::kPassedOn;
    case Way::kWithheld:
      return SkipBytes(data.size());
  }
  return Result::kAbandon;
}

AnswerRelay::Result AnswerRelay::Gather(std::string_view data, TimePoint now) {
  memory_.OnProgress(now);
  const std::size_t size = body_.size() + data.size();
  // A growing string holds twice its size for a moment.
  const bool has_room =
      size <= body_.capacity() || memory_.Resize(BytesHeld() + 2 * size, now);
  // Room may have been made at the cost of this request's own caller.
  if (caller_->is_closed()) return Result::kKept;
  body_.append(data);
  memory_.Set(BytesHeld());
  if (has_room && size <= kMostGathered) return Result::kKept;
  // A failure, or what can't go on with a stream that has begun, is not worth
  // more room. Other answers go on from here; they can't be made again.
  if (has_begun_ || status_ >= kLeastFailure) return Result::kAbandon;
  way_ = Way::kBytes;
  Begin();
  const std::string gathered = std::exchange(body_, {});
  memory_.Set(BytesHeld());
  caller_->WriteStream(gathered);
  return Result::kPassedOn;
}

AnswerRelay::Result AnswerRelay::PassEvents(std::string_view data) {
  const std::string events = events_.Feed(data);
  if (!events.empty()) {
    if (!has_begun_) Begin();
    caller_->WriteStream(events);
  }
  if (events_.is_oversized()) return Result::kAbandon;
  return events.empty() ? Result::kKept : Result::kPassedOn;
}

AnswerRelay::Result AnswerRelay::SkipBytes(std::size_t size) {
  skipped_bytes_ += size;
  return skipped_bytes_ <= kMostGathered ? Result::kKept : Result::kAbandon;
}

void AnswerRelay::Begin() {
  has_begun_ = true;
  caller_->BeginStream(status_, fields_);
}

bool AnswerRelay::Deliver() {
  if (way_ == Way::kWithheld) return false;
  // Another answer than a stream can't go on with one that has begun.
  if (has_begun_ && way_ == Way::kWhole) return false;
  if (has_begun_) {
    if (way_ == Way::kEvents) caller_->WriteStream(events_.Finish());
    caller_->EndStream();
  } else if (options_.is_head) {
    caller_->ReplyHead(status_, fields_, "0");
  } else {
    caller_->Reply(status_, fields_, body_);
  }
  return true;
}

// An assignment would keep the memory.
void AnswerRelay::Free() { std::string().swap(body_); }

}  // namespace mangohold
