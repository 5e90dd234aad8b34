// This entry's quota of the retries that all entries together may make.
#pragma once

#include "core/clock.h"
#include "routing/sliding_count.h"

namespace mangohold {

// Within any window, retries stay below `ratio` times the requests that arrived
// at this entry plus an equal quota of `slack`. The sum over all entries then
// stays within the global bound, whichever entries fail.
class SharedRetryBudget {
 public:
  struct Options {
    double ratio = 0.2;  // retries per request
    double slack = 0;    // further retries per window, of all entries together
    Duration window = std::chrono::seconds(10);
    // Fraction of the bound that stays unused, because an arrival is counted
    // later than its dispatch.
    double safety_margin = 0.2;
  };

  explicit SharedRetryBudget(Options options)
      : options_(options),
        requests_(options.window),
        retries_(options.window) {}

  // Sets the number of entries that may be running, including this one.
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
  // Takes one retry from the budget. Returns false if the budget is exhausted.
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
