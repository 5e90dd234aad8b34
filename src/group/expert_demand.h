// Which experts are in demand lately, from the choices that ranks report.
#pragma once

#include <algorithm>

#include "backend/engine_api.h"
#include "group/even_placement.h"

namespace mangohold {

// Smooths demand over about two periods. When popularity shifts at once, what
// was known before is forgotten instead of being blended in.
class DemandEstimate {
 public:
  // Takes choices of a rank, one set of `experts` after the other.
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

  // Takes what was known before this process, at the weight of `choices`, so
  // that what comes in soon replaces it. Nothing that is known is overwritten.
  void Restore(const ExpertDemand& demand, double total) {
    const double sum = SumOf(demand);
    if (!demand_.empty() || sum <= 0) return;
    demand_ = demand;
    for (auto& set : demand_) {
      for (double& value : set) value *= total / sum;
    }
  }

  // Ends a period. `present` is the map in use, where known.
  void EndPeriod(const GroupMap* current) {
    const bool has_shifted =
        current != nullptr && current->size() == window_.size() &&
        demand_.size() == window_.size() && SumOf(demand_) > 0 &&
        SumOf(window_) >= kMinShiftEvidence * SumOf(demand_) &&
        SkewOf(*current, window_) > kShiftSkewRatio * SkewOf(*current, demand_);
    // Without any choices nothing is learned, and nothing forgotten.
    if (SumOf(window_) <= 0) return;
    if (has_shifted || demand_.size() != window_.size()) {
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
  // The choices that the estimate rests on, over all sets.
  double TotalCount() const { return SumOf(demand_); }

 private:
  // The part of the demand that is left after each period.
  static constexpr double kRetention = 0.6;
  // The choices of a few requests are alike and look like a shift.
  static constexpr double kMinShiftEvidence = 0.2;
  // A period whose skew is this many times the usual one tells of a shift.
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
