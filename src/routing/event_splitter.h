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
  // The stream broke off: discards the bytes of an incomplete event.
  void DropPartial() { partial_.clear(); }

  // The id of the last complete event, after which a resumed stream continues;
  // empty: none.
  const std::string& last_id() const { return last_id_; }
  // Number of events returned by `Feed`.
  int events() const { return events_; }

 private:
  // True if the id is not after `last_id_`. Ids that aren't integers are never
  // duplicates.
  bool IsDuplicate(std::string_view id) const;

  std::string partial_;
  std::string last_id_;
  int events_ = 0;
};

}  // namespace mangohold
