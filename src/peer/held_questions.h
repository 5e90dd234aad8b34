// Questions of other entries for changes, held until there is something to
// tell. No clock and no network.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "store/change_relay.h"

namespace mangohold {

class HeldQuestions {
 public:
  struct Options {
    // A question is held for this long when nothing changes.
    Millis wait{600};
    // The asker gives up when no answer has come after this.
    Millis patience{900};
  };
  // What can be told now: nothing if some changes after the revision are not
  // known, or may not be known by now.
  using Source = std::function<std::optional<RelayedEvents>(Revision after)>;
  // Is called once. Nothing: somebody else is to be asked.
  using Reply = std::function<void(const std::optional<RelayedEvents>&)>;

  HeldQuestions(Options options, Source source)
      : options_(options), source_(std::move(source)) {}

  // Takes a question, and answers it at once if there is something to tell.
  // False if it can't be answered.
  bool Take(Revision after, TimePoint now, Reply reply);
  // Answers those that something is there for, or that were held long enough.
  void AnswerDue(TimePoint now);

 private:
  struct Question {
    Revision after;
    TimePoint asked;
    Reply reply;
  };

  bool Answer(const Question& question, TimePoint now);

  Options options_;
  Source source_;
  std::vector<Question> questions_;
};

}  // namespace mangohold
