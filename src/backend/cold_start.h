// The part of a backend server's admission limit that its warmth allows.
#pragma once

#include <algorithm>
#include <optional>

#include "config/documents.h"

namespace mangohold {

// Grows from a small limit with completed requests and falls back at failures.
// The state "unknown" is the same as cold: nothing but successes proves warmth.
class ColdStartLimit {
 public:
  ColdStartLimit(ColdStart options, int full_limit)
      : options_(options), full_limit_(full_limit) {
    BecomeCold();
  }

  // Requests that the backend server may have in progress now.
  int limit() const { return limit_; }
  bool is_cold() const { return limit_ < full_limit_; }
  // Takes a change of limits by operators; progress is kept, and a higher start
  // counts at once.
  void SetOptions(ColdStart options, int full_limit) {
    options_ = options;
    full_limit_ = full_limit;
    limit_ = std::clamp(limit_, InitialLimit(), full_limit_);
  }

  // A changed boot id, a refused connection or a fresh report: start over.
  void BecomeCold() {
    limit_ = InitialLimit();
    successes_ = 0;
    limit_before_suspicion_.reset();
  }
  // The server may have restarted: keep to the start until a report tells.
  void Suspect() {
    if (!limit_before_suspicion_) limit_before_suspicion_ = limit_;
    limit_ = InitialLimit();
  }
  // The server is still the one that proved its warmth.
  void ClearSuspicion() {
    if (limit_before_suspicion_)
      limit_ = std::min(*limit_before_suspicion_, full_limit_);
    limit_before_suspicion_.reset();
  }
  // A request was served whole. Only a server that was used up to its limit
  // shows that it bears it, so `was_full` gates the growth.
  void OnSuccess(bool was_full) {
    if (!was_full || limit_ >= full_limit_) return;
    if (++successes_ < options_.successes_per_step) return;
    successes_ = 0;
    ++limit_;
  }
  // A request failed at the backend server: halve, but not below the start.
  void OnFailure() {
    limit_ = std::max(limit_ / 2, InitialLimit());
    successes_ = 0;
  }

 private:
  int InitialLimit() const {
    return std::min(options_.initial_limit, full_limit_);
  }

  ColdStart options_;
  int full_limit_;
  int limit_ = 0;
  int successes_ = 0;
  std::optional<int> limit_before_suspicion_;  // while the server is suspected
};

}  // namespace mangohold
