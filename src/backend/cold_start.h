// Slow start: the admission limit of a backend server after a cold start.
#pragma once

#include <algorithm>
#include <optional>

#include "config/documents.h"

namespace mangohold {

// Starts at a small limit, grows with completed requests and halves on
// failures. An unknown server is treated as cold: only successes raise the
// limit.
class ColdStartLimit {
 public:
  ColdStartLimit(ColdStart options, int full_limit)
      : options_(options), full_limit_(full_limit) {
    BecomeCold();
  }

  // The number of requests that may be in progress now.
  int limit() const { return limit_; }
  bool is_cold() const { return limit_ < full_limit_; }
  // Applies changed settings. The current limit is kept, clamped to the new
  // range, so a higher initial limit takes effect at once.
  void SetOptions(ColdStart options, int full_limit) {
    options_ = options;
    full_limit_ = full_limit;
    limit_ = std::clamp(limit_, InitialLimit(), full_limit_);
  }

  // Restarts from the initial limit: the boot id changed, or the server refused
  // a connection.
  void BecomeCold() {
    limit_ = InitialLimit();
    successes_ = 0;
    prior_limit_.reset();
  }
  // The server may have restarted: use the initial limit until a load report
  // shows whether it has.
  void Suspect() {
    if (!prior_limit_) prior_limit_ = limit_;
    limit_ = InitialLimit();
  }
  // The server has not restarted: restore the limit from before the suspicion.
  void ClearSuspicion() {
    if (prior_limit_) limit_ = std::min(*prior_limit_, full_limit_);
    prior_limit_.reset();
  }
  // Records a completed request. `was_full` tells whether the server was at its
  // limit; only then does a success show that the server can sustain it.
  void OnSuccess(bool was_full) {
    if (!was_full || limit_ >= full_limit_) return;
    if (++successes_ < options_.successes_per_step) return;
    successes_ = 0;
    ++limit_;
  }
  // Records a failed request: halves the limit, but not below the initial one.
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
  std::optional<int> prior_limit_;  // set while suspected
};

}  // namespace mangohold
