// How often an engine's requests have chosen each expert, cleared of numbers
// that are wrong in one answer: a number counts once two answers in a row have
// reached it. Uses neither clock nor network.
#pragma once

#include <algorithm>
#include <functional>
#include <utility>

#include "backend/engine_api.h"

namespace mangohold {

class ConfirmedCounts {
 public:
  // Takes the counts since the engine's start as they were read. Returns what
  // is new since the call before, one answer late. The first counts of an agent
  // are new to nobody: they may be of any age.
  ExpertCounts OnRead(const ExpertCounts& counts) {
    const ExpertCounts previous = std::exchange(last_read_, counts);
    if (previous.size() != counts.size()) return {};
    ExpertCounts reached = Combine(previous, counts, kLower);
    if (counted_.size() != counts.size()) {
      counted_ = std::move(reached);
      return {};
    }
    // Both answers are below what was counted: the engine has started again.
    const ExpertCounts higher = Combine(previous, counts, kHigher);
    const bool has_restarted =
        !std::ranges::equal(counted_, higher, std::less_equal<>());
    if (has_restarted) return counted_ = std::move(reached);
    reached = Combine(reached, counted_, kHigher);
    ExpertCounts new_counts = Combine(reached, counted_, std::minus<>());
    counted_ = std::move(reached);
    return new_counts;
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

  ExpertCounts last_read_;
  ExpertCounts counted_;  // since the engine's start
};

}  // namespace mangohold
