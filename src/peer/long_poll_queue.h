// Long polls of other entries for store changes. A poll is held until there are
// changes to return. Does no I/O and reads no clock.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "store/change_relay.h"

namespace mangohold {

class LongPollQueue {
 public:
  struct Options {
    // How long a poll is held if nothing changes.
    Millis max_wait{600};
    // The client of a poll gives up after this time.
    Millis timeout{900};
  };
  // Returns the changes after a revision; nothing if some of them aren't known,
  // or if the source may be behind the store.
  using Source = std::function<std::optional<RelayedEvents>(Revision after)>;
  // Called exactly once. Nothing: the client has to ask another source.
  using Reply = std::function<void(const std::optional<RelayedEvents>&)>;

  LongPollQueue(Options options, Source source)
      : options_(options), source_(std::move(source)) {}

  // Adds a poll, and answers it at once if there are changes. Returns false,
  // without calling `reply`, if this process can't serve it.
  bool Add(Revision after, TimePoint now, Reply reply);
  // Answers the polls that have changes to return or have reached their maximum
  // wait.
  void AnswerDue(TimePoint now);

 private:
  struct Poll {
    Revision after;
    TimePoint received;
    Reply reply;
  };

  bool Answer(const Poll& poll, TimePoint now);

  Options options_;
  Source source_;
  std::vector<Poll> polls_;
};

}  // namespace mangohold
