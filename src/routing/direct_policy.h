// Retry policy of one request that an entry sends to backends directly, without
// agents: whether it may be sent again after a failed attempt, and which
// outcome the caller is told.
#pragma once

#include "core/outcome.h"

namespace mangohold {

// A request that is not repeatable (idempotent) is sent again only while it is
// certain that no backend has run it. A second run of a repeatable one does no
// harm. The outcome "not run" is reported only if no attempt may have run.
class DirectPolicy {
 public:
  struct Options {
    bool is_repeatable = false;
    // Maximum number of attempts that may have run on a backend.
    int max_attempts = 1;
    // Maximum number of attempts that certainly did not run.
    int max_rejections = 6;
  };
  enum class Next {
    kSendAgain,
    kGiveUp  // with the outcome of `GiveUpOutcome`
  };

  explicit DirectPolicy(Options options) : options_(options) {}

  // The request was passed to a connection. From now on it may run.
  void OnSent();
  // The attempt certainly did not run.
  Next OnNotRun();
  // The attempt failed and may have run.
  Next OnFailed();

  // kNotRun only if no earlier attempt may have run and none is in flight.
  Outcome GiveUpOutcome() const;
  bool may_have_run() const { return runs_ > 0 || is_in_flight_; }
  // True if the attempt in flight may be abandoned in favor of another one.
  bool MayReplaceAttempt() const {
    return options_.is_repeatable && runs_ + 1 < options_.max_attempts;
  }
  // Number of ended attempts that may have run.
  int runs() const { return runs_; }
  // Number of all attempts, including one in flight.
  int sends() const { return sends_; }

 private:
  bool MayRunAgain() const;

  Options options_;
  bool is_in_flight_ = false;
  int sends_ = 0;
  int runs_ = 0;
  int rejections_ = 0;
};

}  // namespace mangohold
