// Questions of other entries for changes, held until there is something to
// tell. No clock and no network.
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
    // A question is held for this long when nothing changes.
    Millis max_wait{600};
    // The asker gives up when no answer has come after this.
    Millis timeout{900};
  };
  // What can be told now: nothing if some changes after the revision are not
  // known, or may not be known by now.
  using Source = std::function<std::optional<RelayedEvents>(Revision after)>;
  // Is called once. Nothing: somebody else is to be asked.
  using Reply = std::function<void(const std::optional<RelayedEvents>&)>;

  LongPollQueue(Options options, Source source)
      : options_(options), source_(std::move(source)) {}

  // Takes a question, and answers it at once if there is something to tell.
  // False if it can't be answered.
  bool Add(Revision after, TimePoint now, Reply reply);
  // Answers those that something is there for, or that were held long enough.
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
