// Bounds retries to a share of fresh requests, so that retries can't amplify
// an overload or an outage.
#pragma once

#include <algorithm>

namespace mangohold {

// A token bucket that fresh requests fill and retries empty.
class RetryBudget {
 public:
  // Retries that are allowed before any fresh request has been seen, so that a
  // quiet workspace isn't left without retries.
  static constexpr double kInitialTokens = 10;
  // Tokens above this are lost, so that a calm day can't pay for a storm.
  static constexpr double kMaxTokens = 100;

  // `percent` is the number of retries for each hundred fresh requests.
  void OnRequest(int percent) {
    tokens_ = std::min(kMaxTokens, tokens_ + percent / 100.0);
  }
  // Takes one retry from the budget; false if it is used up.
  bool TryRetry() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kInitialTokens;
};

}  // namespace mangohold
