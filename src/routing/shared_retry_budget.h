// This entry's part of the retries that all entries together may make.
#pragma once

#include "core/clock.h"
#include "routing/sliding_count.h"

namespace mangohold {

// Within any window, retries stay under `ratio` of the requests that came here
// plus an equal part of `slack`, so that the sum over all entries keeps to the
// bound, whichever of them are lost.
class SharedRetryBudget {
 public:
  struct Options {
    double ratio = 0.2;
    double slack = 0;
    Duration window = std::chrono::seconds(10);
    // Held back from the bound, because an arrival is counted later than its
    // dispatch.
    double safety_margin = 0.2;
  };

  explicit SharedRetryBudget(Options options)
      : options_(options),
        requests_(options.window),
        retries_(options.window) {}

  // The entries that may be running.
  void SetEntries(int entries) { entries_ = entries; }
  void OnRequest(TimePoint now) { requests_.Add(now); }
  // True if one more retry is within the budget.
  bool CanRetry(TimePoint now) const {
    const double bound =
        options_.ratio * static_cast<double>(requests_.Count(now)) +
        options_.slack / entries_;
    const auto used = static_cast<double>(retries_.Count(now));
    return used + 1 <= bound * (1 - options_.safety_margin);
  }
  // Takes one retry; false if the budget is used up.
  bool TryRetry(TimePoint now) {
    if (!CanRetry(now)) return false;
    retries_.Add(now);
    return true;
  }

 private:
  Options options_;
  int entries_ = 1;
  SlidingCount requests_;
  SlidingCount retries_;
};

}  // namespace mangohold
