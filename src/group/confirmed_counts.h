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
  // is new since the call before.
  ExpertCounts OnRead(const ExpertCounts& counts) {
    const ExpertCounts previous = std::exchange(last_read_, counts);
    const bool is_confirmed_length = previous.size() == counts.size();
    const bool has_other_length = counted_.size() != counts.size();
    if (has_other_length && !counted_.empty() && !is_confirmed_length) {
      return {};
    }
    if (has_other_length) counted_.assign(counts.size(), 0);
    if (CanBeRight(counts)) return Count(counts);
    if (!is_confirmed_length) return {};
    const ExpertCounts lower = Combine(previous, counts, kLower);
    const ExpertCounts higher = Combine(previous, counts, kHigher);
    // Both answers are below what was counted: the engine has started again.
    const bool has_restarted =
        !std::ranges::equal(counted_, higher, std::less_equal<>());
    if (has_restarted) return counted_ = lower;
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

  bool CanBeRight(const ExpertCounts& counts) const {
    const bool is_below =
        !std::ranges::equal(counted_, counts, std::less_equal<>());
    if (is_below) return false;
    const ExpertCounts growth = Combine(counts, counted_, std::minus<>());
    const std::int64_t most = growth.empty() ? 0 : std::ranges::max(growth);
    // As a fraction, which can't overflow.
    const double sum = std::accumulate(growth.begin(), growth.end(), 0.0);
    return 2 * static_cast<double>(most) <= sum;
  }

  ExpertCounts last_read_;
  ExpertCounts counted_;  // since the engine's start
};

}  // namespace mangohold
