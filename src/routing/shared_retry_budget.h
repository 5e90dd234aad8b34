// This entry's quota of the retries that all entries together may make.
#pragma once

#include <algorithm>
#include <optional>

#include "core/clock.h"
#include "routing/sliding_count.h"

namespace mangohold {

// A token bucket: a retry takes a token, and requests and time add tokens. In
// any window, the retries of all entries together stay within `ratio` times
// their requests (in that window, or in the one before if that has more) plus
// `slack`, because two parts add up to it:
// - the tokens that are saved up when the window begins, of which each entry
//   has at most `burst_fraction` of its own bound,
// - the tokens that are added within the window: the rest of the bound.
//
// The bucket of a new process is empty. A process that starts again has
// forgotten how many retries its predecessor has made, and this way needs no
// memory of them.
//
// A retry is reserved when it is decided and taken when it is sent, which may
// be seconds later. Reserved ones count as saved up.
class SharedRetryBudget {
 public:
  struct Options {
    double ratio = 0.2;  // retries per request
    double slack = 0;    // further retries per window, of all entries together
    Duration window = std::chrono::seconds(10);
    // Part of the bound that may be saved up for a burst.
    double burst_fraction = 0.6;
    // Fraction of the bound that stays unused, because an arrival is counted
    // later than its dispatch, and entries learn of one another with a delay.
    double safety_margin = 0.1;
  };
  // What a decision is based on, for the log.
  struct State {
    double tokens = 0;
    int reserved = 0;
    double capacity = 0;  // of tokens and reserved ones
    int requests = 0;     // within the window
    std::optional<int> entries;
  };

  explicit SharedRetryBudget(Options options)
      : options_(options), requests_(options.window) {}

  // Sets the number of entries that may be running, including this one. Absent:
  // unknown, so that this entry has no quota of the slack.
  void SetEntries(std::optional<int> entries, TimePoint now) {
    AddTokensOfTime(now);
    entries_ = entries;
    LimitTokens(now);
  }
  void OnRequest(TimePoint now) {
    AddTokensOfTime(now);
    requests_.Add(now);
    tokens_ += AccruedPart() * options_.ratio;
    LimitTokens(now);
  }
  // True if one more retry is within the budget.
  bool CanRetry(TimePoint now) {
    AddTokensOfTime(now);
    return tokens_ >= 1;
  }
  // Reserves one retry. Returns false if the budget is exhausted.
  bool TryReserve(TimePoint now) {
    if (!CanRetry(now)) return false;
    tokens_ -= 1;
    ++reserved_;
    return true;
  }
  // A reserved retry was sent.
  void OnSent() { --reserved_; }
  // A retry of which `OnSent` was told was not sent after all. It is reserved
  // again.
  void OnNotSent(TimePoint now) {
    ++reserved_;
    AddTokensOfTime(now);
  }
  // A reserved retry won't be sent.
  void Release(TimePoint now) {
    --reserved_;
    tokens_ += 1;
    AddTokensOfTime(now);
  }

  State StateAt(TimePoint now) {
    AddTokensOfTime(now);
    return {.tokens = tokens_,
            .reserved = reserved_,
            .capacity = Capacity(now),
            .requests = static_cast<int>(requests_.Count(now)),
            .entries = entries_};
  }

 private:
  double AccruedPart() const {
    return (1 - options_.burst_fraction) * (1 - options_.safety_margin);
  }
  double OwnSlack() const { return entries_ ? options_.slack / *entries_ : 0; }
  double Capacity(TimePoint now) const {
    const auto requests = static_cast<double>(requests_.Count(now));
    return options_.burst_fraction * (1 - options_.safety_margin) *
           (options_.ratio * requests + OwnSlack());
  }
  void AddTokensOfTime(TimePoint now) {
    if (!updated_) updated_ = now;
    const double windows =
        ToSeconds(now - *updated_) / ToSeconds(options_.window);
    updated_ = now;
    tokens_ += AccruedPart() * OwnSlack() * windows;
    LimitTokens(now);
  }
  void LimitTokens(TimePoint now) {
    tokens_ = std::clamp(Capacity(now) - reserved_, 0.0, tokens_);
  }

  Options options_;
  std::optional<int> entries_;
  SlidingCount requests_;
  std::optional<TimePoint> updated_;
  double tokens_ = 0;
  int reserved_ = 0;
};

}  // namespace mangohold
