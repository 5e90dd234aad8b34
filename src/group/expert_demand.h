// Which experts are in demand lately, from the choices that ranks report.
#pragma once

#include <algorithm>

#include "backend/engine_api.h"
#include "group/even_placement.h"

namespace mangohold {

class DemandEstimate {
 public:
  // Takes choices of a rank, one set of `experts` after the other.
  void Add(const ExpertCounts& choices, int experts) {
    if (experts <= 0) return;
    const auto width = static_cast<std::size_t>(experts);
    demand_.resize(std::max(demand_.size(), choices.size() / width),
                   std::vector<double>(width));
    for (std::size_t i = 0; i < demand_.size() * width && i < choices.size();
         ++i) {
      demand_[i / width][i % width] += static_cast<double>(choices[i]);
    }
  }
  // Called once a period, so that older choices count for less.
  void Decay() {
    for (auto& set : demand_) {
      for (double& tokens : set) tokens *= kMemory;
    }
  }
  const ExpertDemand& demand() const { return demand_; }
  // The tokens that the estimate rests on, over all sets.
  double Weight() const {
    double sum = 0;
    for (const auto& set : demand_) {
      for (const double tokens : set) sum += tokens;
    }
    return sum;
  }

 private:
  // The part of the demand that is left after each `Decay`.
  static constexpr double kMemory = 0.6;

  ExpertDemand demand_;
};

}  // namespace mangohold
