// How often an engine's requests have chosen each expert, cleared of numbers
// that are wrong in one answer. Counts that can be right are new at once: none
// is below what was counted, and none has grown by more than all others
// together. Others count once two answers in a row have reached them. Uses
// neither clock nor network.
#pragma once

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

#include "backend/engine_api.h"

namespace mangohold {

class ConfirmedCounts {
 public:
  // Takes the counts since the engine's start as they were read. Returns what
  // is new since the call before. The first counts of an agent are new to
  // nobody: they may be of any age.
  ExpertCounts OnRead(const ExpertCounts& counts) {
    const ExpertCounts previous = std::exchange(last_read_, counts);
    if (counted_.size() != counts.size()) {
      if (CanFollow(previous, counts)) counted_ = counts;
      return {};
    }
    if (CanFollow(counted_, counts)) return Count(counts);
    if (previous.size() != counts.size()) return {};
    const ExpertCounts lower = Combine(previous, counts, kLower);
    const ExpertCounts higher = Combine(previous, counts, kHigher);
    // Both answers are below what was counted: the engine has started again.
    if (!IsReached(counted_, higher)) return counted_ = lower;
    return Count(Combine(lower, counted_, kHigher));
  }

 private:
  static constexpr auto kLower = [](auto a, auto b) { return std::min(a, b); };
  static constexpr auto kHigher = [](auto a, auto b) { return std::max(a, b); };

  template <typename Operation>
  static ExpertCounts Combine(const ExpertCounts& a, const ExpertCounts& b,
                              Operation operation) {
    ExpertCounts result(a.size());
    std::ranges::transform(a, b, result.begin(), operation);
    return result;
  }

  // `reached` isn't below what was counted.
  ExpertCounts Count(const ExpertCounts& reached) {
    ExpertCounts new_counts = Combine(reached, counted_, std::minus<>());
    counted_ = reached;
    return new_counts;
  }

  static bool IsReached(const ExpertCounts& counted,
                        const ExpertCounts& counts) {
    return std::ranges::equal(counted, counts, std::less_equal<>());
  }

  // True if `after` can be what comes after `before`: of the same length, with
  // no number that is lower or has grown by more than all others together.
  static bool CanFollow(const ExpertCounts& before, const ExpertCounts& after) {
    if (before.size() != after.size() || !IsReached(before, after)) {
      return false;
    }
    const ExpertCounts growth = Combine(after, before, std::minus<>());
    const std::int64_t most = growth.empty() ? 0 : std::ranges::max(growth);
    // As a fraction, which can't overflow.
    const double sum = std::accumulate(growth.begin(), growth.end(), 0.0);
    return 2 * static_cast<double>(most) <= sum;
  }

  ExpertCounts last_read_;
  ExpertCounts counted_;  // since the engine's start
};

}  // namespace mangohold
