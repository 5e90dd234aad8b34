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

  // What a decision is based on, for the log.
  struct State {
    double limit = 0;  // retries allowed in the window that ends now
    double used = 0;   // of these
    int requests = 0;  // in the window
    int entries = 1;
  };

  // Sets the number of entries that may be running, including this one.
  void SetEntries(int entries) { entries_ = entries; }
  void OnRequest(TimePoint now) { requests_.Add(now); }
  // True if one more retry is within the budget.
  bool CanRetry(TimePoint now) const {
    const State state = StateAt(now);
    return state.used + 1 <= state.limit;
  }
  // Takes one retry from the budget. Returns false if the budget is exhausted.
  bool TryRetry(TimePoint now) {
    if (!CanRetry(now)) return false;
    retries_.Add(now);
    return true;
  }

  State StateAt(TimePoint now) const {
    const auto requests = static_cast<int>(requests_.Count(now));
    const double bound = options_.ratio * requests + options_.slack / entries_;
    return {.limit = bound * (1 - options_.safety_margin),
            .used = static_cast<double>(retries_.Count(now)),
            .requests = requests,
            .entries = entries_};
  }

 private:
  Options options_;
  int entries_ = 1;
  SlidingCount requests_;
  SlidingCount retries_;
};

}  // namespace mangohold
