// Limits retries to a fraction of the fresh requests, so that retries can't
// amplify an overload or an outage.
#pragma once

#include <algorithm>

namespace mangohold {

// Token bucket that fresh requests fill and retries drain.
class RetryBudget {
 public:
  // Retries that are allowed before any fresh request arrives, so that a
  // workspace with little traffic can still retry.
  static constexpr double kInitialTokens = 10;
  // Capacity of the bucket: bounds the burst of retries that is possible after
  // a long period without failures.
  static constexpr double kMaxTokens = 100;

  // `percent` is the number of retries per hundred fresh requests.
  void OnRequest(int percent) {
    tokens_ = std::min(kMaxTokens, tokens_ + percent / 100.0);
  }
  // Takes one retry from the budget. Returns false if the budget is exhausted.
  bool TryRetry() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kInitialTokens;
};

}  // namespace mangohold
