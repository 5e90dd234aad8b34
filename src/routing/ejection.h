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
    Duration first = std::chrono::milliseconds(400);
    Duration longest = std::chrono::seconds(5);
    // So many failures in a row eject it.
    int failures = 3;
  };

  Ejection() = default;
  explicit Ejection(Options options) : options_(options) {}

  bool IsEjected(TimePoint now) const { return until_ > now; }
  // The part of its requests that failed lately, smoothed.
  double failure_share() const { return failure_share_; }

  void OnServed();
  // True if it is to be ejected.
  bool OnFailed();
  // The last failure was the request's own, as another server has shown.
  void ForgiveLast();
  // Begins an ejection, longer than the one before if nothing was served in
  // between.
  void Begin(TimePoint now);
  // It refused work: passed over for half of the first time, without a failure.
  void OnRefused(TimePoint now) { until_ = now + options_.first / 2; }

 private:
  Options options_;
  int failures_ = 0;  // in a row, ejections included
  TimePoint until_;
  double failure_share_ = 0;
  double share_before_ = 0;  // the last failure
};

}  // namespace mangohold
