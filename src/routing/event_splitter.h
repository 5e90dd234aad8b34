// Cuts a stream of events (text/event-stream) into whole events, so that one
// which breaks off in the middle of an event can go on elsewhere.
#pragma once

#include <string>
#include <string_view>

namespace mangohold {

class EventSplitter {
 public:
  // `last_id` is the id that the caller has seen last; empty: none.
  explicit EventSplitter(std::string last_id) : last_id_(std::move(last_id)) {}

  // Takes bytes of the stream and gives those up to the end of the last whole
  // event. Events that the caller has already are left out.
  std::string Feed(std::string_view data);
  // The stream is whole: gives what is left.
  std::string Finish();
  // The stream broke off: what is left of an event that isn't whole is dropped.
  void DropPartial() { partial_.clear(); }

  // The id of the last whole event; a new run goes on behind it.
  const std::string& last_id() const { return last_id_; }
  int events() const { return events_; }

 private:
  bool IsDuplicate(std::string_view id) const;

  std::string partial_;
  std::string last_id_;
  int events_ = 0;
};

}  // namespace mangohold
