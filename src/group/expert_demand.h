// Estimate of the recent demand for each expert, from the counts that ranks
// report.
#pragma once

#include <algorithm>

#include "backend/engine_api.h"
#include "group/even_placement.h"

namespace mangohold {

// Exponentially smoothed demand that spans about two periods. When popularity
// shifts abruptly, the old estimate is discarded instead of being blended with
// the new counts.
class DemandEstimate {
 public:
  // Adds the counts of one or more ranks to the current period. `counts` holds
  // consecutive sets of `experts` values each; it is ignored if `experts` is 0.
  void Add(const ExpertCounts& counts, int experts) {
    if (experts <= 0) return;
    const auto width = static_cast<std::size_t>(experts);
    window_.resize(std::max(window_.size(), counts.size() / width),
                   std::vector<double>(width));
    for (std::size_t i = 0; i < window_.size() * width && i < counts.size();
         ++i) {
      window_[i / width][i % width] += static_cast<double>(counts[i]);
    }
  }

  // Sets the estimate to the demand saved by an earlier process, scaled to a
  // total count of `total`, so that new counts soon outweigh it. Does nothing
  // if there is an estimate already.
  void Restore(const ExpertDemand& demand, double total) {
    const double sum = SumOf(demand);
    if (!demand_.empty() || sum <= 0) return;
    demand_ = demand;
    for (auto& set : demand_) {
      for (double& value : set) value *= total / sum;
    }
  }

  // Ends a period and updates the estimate. `current` is the map in use; null
  // if unknown, in which case no shift is detected.
  void EndPeriod(const GroupMap* current) {
    // Saved demand may have other dimensions.
    const bool is_alike = std::ranges::equal(
        demand_, window_,
        [](const auto& a, const auto& b) { return a.size() == b.size(); });
    const bool has_shifted =
        current != nullptr && current->size() == window_.size() && is_alike &&
        SumOf(demand_) > 0 &&
        SumOf(window_) >= kMinShiftEvidence * SumOf(demand_) &&
        SkewOf(*current, window_) > kShiftSkewRatio * SkewOf(*current, demand_);
    // A period without counts leaves the estimate unchanged.
    if (SumOf(window_) <= 0) return;
    if (has_shifted || !is_alike) {
      demand_ = window_;
    } else {
      for (std::size_t set = 0; set < window_.size(); ++set) {
        std::ranges::transform(demand_[set], window_[set], demand_[set].begin(),
                               [](double before, double now) {
                                 return before * kRetention + now;
                               });
      }
    }
    for (auto& set : window_) std::ranges::fill(set, 0);
  }

  const ExpertDemand& demand() const { return demand_; }
  // The total count of the estimate, over all sets.
  double TotalCount() const { return SumOf(demand_); }

 private:
  // Fraction of the old estimate that remains after each period.
  static constexpr double kRetention = 0.6;
  // A shift is detected only if the period's total count is at least this
  // fraction of the estimate's: the counts of a few requests resemble each
  // other and look like a shift.
  static constexpr double kMinShiftEvidence = 0.2;
  // A shift is detected if the period's skew is more than this many times the
  // skew of the estimate.
  static constexpr double kShiftSkewRatio = 1.35;

  static double SumOf(const ExpertDemand& demand) {
    double sum = 0;
    for (const auto& set : demand) {
      for (const double count : set) sum += count;
    }
    return sum;
  }

  ExpertDemand demand_;
  ExpertDemand window_;  // of the period in progress
};

}  // namespace mangohold
