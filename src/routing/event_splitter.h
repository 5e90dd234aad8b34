// Splits a stream of server-sent events (text/event-stream) into complete
// events, so that a stream that breaks off in the middle of an event can be
// resumed at another backend.
#pragma once

#include <string>
#include <string_view>

namespace mangohold {

class EventSplitter {
 public:
  // `last_id` is the id of the last event that the caller received; empty:
  // none.
  explicit EventSplitter(std::string last_id) : last_id_(std::move(last_id)) {}

  // Appends bytes of the stream and returns the events that are now complete,
  // except those that the caller has already received.
  std::string Feed(std::string_view data);
  // The stream ended normally: returns the remaining bytes.
  std::string Finish();
  // True if the bytes so far end inside an event.
  bool is_inside_event() const { return !partial_.empty(); }
  // True if the event in progress is larger than any sound one.
  bool is_oversized() const { return partial_.size() > kMaxEventBytes; }
  // The stream broke off: discards the bytes of an incomplete event.
  void DropPartial() {
    partial_.clear();
    line_begin_ = 0;
  }

  // The id of the last complete event, after which a resumed stream continues;
  // empty: none.
  const std::string& last_id() const { return last_id_; }
  // Number of events returned by `Feed`.
  int events() const { return events_; }

 private:
  // True if the id is not after `last_id_`. Ids that aren't integers are never
  // duplicates.
  bool IsDuplicate(std::string_view id) const;

  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  // The size of the first event of `partial_`, including the empty line that
  // ends it; 0 if it is incomplete.
  std::size_t NextEventSize(std::size_t begin);

  std::string partial_;
  // Where the first line of `partial_` begins that hasn't been seen whole.
  std::size_t line_begin_ = 0;
  std::string last_id_;
  int events_ = 0;
};

}  // namespace mangohold
