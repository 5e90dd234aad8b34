// Ejects one backend from load balancing after failures (outlier detection).
// Only results of real requests count, never the backend's own health report:
// a backend that fails part of its requests may still pass its health check. An
// ejection lasts twice as long as the one before. A request that fails at every
// backend is no evidence against any of them (`UndoLastFailure`). Does no I/O
// and reads no clock.
#pragma once

#include "core/clock.h"

namespace mangohold {

class Ejection {
 public:
  struct Options {
    // Duration of the first ejection, and the upper bound of all.
    Duration base_time = std::chrono::milliseconds(400);
    Duration max_time = std::chrono::seconds(5);
    // Consecutive failures that eject the backend.
    int failures_to_eject = 3;
  };

  Ejection() = default;
  explicit Ejection(Options options) : options_(options) {}

  bool IsEjected(TimePoint now) const { return ejected_until_ > now; }
  // Recent fraction of requests that failed, exponentially smoothed, 0 to 1.
  double failure_rate() const { return failure_rate_; }

  void OnServed();
  // Returns true if the backend is to be ejected with `Begin`.
  bool OnFailed();
  // Removes the last failure from the counts, because another backend has shown
  // that the request itself was at fault.
  void UndoLastFailure();
  // Starts an ejection, which lasts longer than the previous one if no request
  // was served in between.
  void Begin(TimePoint now);
  // The backend refused a request: ejects it for half of the base time without
  // counting a failure.
  void OnRefused(TimePoint now) {
    ejected_until_ = now + options_.base_time / 2;
  }

 private:
  Options options_;
  int consecutive_failures_ = 0;  // each ejection counts as one
  TimePoint ejected_until_;
  double failure_rate_ = 0;
  double previous_failure_rate_ = 0;  // before the last failure
};

}  // namespace mangohold
