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
  void Add(const ExpertCounts& choices, int experts) {
    if (experts <= 0) return;
    const auto width = static_cast<std::size_t>(experts);
    window_.resize(std::max(window_.size(), choices.size() / width),
                   std::vector<double>(width));
    for (std::size_t i = 0; i < window_.size() * width && i < choices.size();
         ++i) {
      window_[i / width][i % width] += static_cast<double>(choices[i]);
    }
  }

  // Takes what was known before this process, at the weight of `choices`, so
  // that what comes in soon replaces it. Nothing that is known is overwritten.
  void Restore(const ExpertDemand& demand, double choices) {
    const double weight = Weight(demand);
    if (!demand_.empty() || weight <= 0) return;
    demand_ = demand;
    for (auto& set : demand_) {
      for (double& value : set) value *= choices / weight;
    }
  }

  // Ends a period. `present` is the map in use, where known.
  void EndPeriod(const GroupMap* present) {
    const bool has_shifted =
        present != nullptr && present->size() == window_.size() &&
        demand_.size() == window_.size() && Weight(demand_) > 0 &&
        Weight(window_) >= kLeastEvidence * Weight(demand_) &&
        SkewOf(*present, window_) > kShiftFactor * SkewOf(*present, demand_);
    // Without any choices nothing is learned, and nothing forgotten.
    if (Weight(window_) <= 0) return;
    if (has_shifted || demand_.size() != window_.size()) {
      demand_ = window_;
    } else {
      for (std::size_t set = 0; set < window_.size(); ++set) {
        std::ranges::transform(
            demand_[set], window_[set], demand_[set].begin(),
            [](double before, double now) { return before * kMemory + now; });
      }
    }
    for (auto& set : window_) std::ranges::fill(set, 0);
  }

  const ExpertDemand& demand() const { return demand_; }
  // The choices that the estimate rests on, over all sets.
  double Weight() const { return Weight(demand_); }

 private:
  // The part of the demand that is left after each period.
  static constexpr double kMemory = 0.6;
  // The choices of a few requests are alike and look like a shift.
  static constexpr double kLeastEvidence = 0.2;
  // A period whose skew is this many times the usual one tells of a shift.
  static constexpr double kShiftFactor = 1.35;

  static double Weight(const ExpertDemand& demand) {
    double sum = 0;
    for (const auto& set : demand) {
      for (const double choices : set) sum += choices;
    }
    return sum;
  }

  ExpertDemand demand_;
  ExpertDemand window_;  // of the period in progress
};

}  // namespace mangohold
