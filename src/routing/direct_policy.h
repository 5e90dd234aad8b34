// The course of one request that goes to backend servers directly: whether it
// may be sent again after a failed attempt, and which words are true at its
// end.
#pragma once

#include "core/outcome.h"

namespace mangohold {

// A request that isn't repeatable is sent again only as long as it is certain
// that no backend server ran it. "Not run" is said only of such a request, and
// of a repeatable one, where a second run does no harm.
class DirectPolicy {
 public:
  struct Options {
    bool is_repeatable = false;
    // Backend servers that may run the request at the most.
    int max_attempts = 1;
    // Attempts that provably ran nothing, at the most.
    int max_rejections = 6;
  };
  enum class Next {
    kSendAgain,
    kGiveUp  // with the outcome of `GiveUpOutcome`
  };

  explicit DirectPolicy(Options options) : options_(options) {}

  // The request is handed to a connection. From here on it may run.
  void OnSent();
  // The attempt provably ran nothing.
  Next OnNotRun();
  // The attempt may have run and came to nothing.
  Next OnFailed();

  // kNotRun only if no attempt may have run, or may still.
  Outcome GiveUpOutcome() const;
  bool may_have_run() const { return runs_ > 0 || is_in_flight_; }
  // True if the attempt in progress may be given up for another one.
  bool MayReplaceAttempt() const {
    return options_.is_repeatable && runs_ + 1 < options_.max_attempts;
  }
  // Attempts that may have run.
  int runs() const { return runs_; }
  int sends() const { return sends_; }

 private:
  bool MayRunAgain() const;

  Options options_;
  bool is_in_flight_ = false;  // an attempt is in progress
  int sends_ = 0;
  int runs_ = 0;
  int rejections_ = 0;
};

}  // namespace mangohold
