// Whether one backend server is passed over for its failures. Answers two
// patterns: a server that fails part of its requests while its health check is
// good is avoided, for a time that doubles with each failure; and a request
// that fails alike at every server says nothing of them. Real outcomes count,
// never what a server says of its health. No clock and no network.
#pragma once

#include "core/clock.h"

namespace mangohold {

class Ejection {
 public:
  struct Options {
    // First and longest time for which it is passed over.
    Duration base_time = std::chrono::milliseconds(400);
    Duration max_time = std::chrono::seconds(5);
    // So many failures in a row eject it.
    int failures_to_eject = 3;
  };

  Ejection() = default;
  explicit Ejection(Options options) : options_(options) {}

  bool IsEjected(TimePoint now) const { return ejected_until_ > now; }
  // The part of its requests that failed lately, smoothed.
  double failure_rate() const { return failure_rate_; }

  void OnServed();
  // True if it is to be ejected.
  bool OnFailed();
  // The last failure was the request's own, as another server has shown.
  void UndoLastFailure();
  // Begins an ejection, longer than the one before if nothing was served in
  // between.
  void Begin(TimePoint now);
  // It refused work: passed over for half of the first time, without a failure.
  void OnRefused(TimePoint now) {
    ejected_until_ = now + options_.base_time / 2;
  }

 private:
  Options options_;
  int consecutive_failures_ = 0;  // in a row, ejections included
  TimePoint ejected_until_;
  double failure_rate_ = 0;
  double previous_failure_rate_ = 0;  // the last failure
};

}  // namespace mangohold
