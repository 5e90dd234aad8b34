#include "routing/priority_reserve.h"

#include <algorithm>
#include <cmath>

namespace mangohold {
namespace {

// Arrivals of this time count as the present demand.
constexpr Millis kWindow{3'000};
// After so many more urgent requests one goes without a reserve.
constexpr int kMaxOvertakes = 8;

}  // namespace

void PriorityReserve::OnArrival(int priority, TimePoint now) {
  if (options_.max_fraction <= 0) return;
  by_priority_.try_emplace(priority, Demand{.arrivals = SlidingCount(kWindow)})
      .first->second.arrivals.Add(now);
}

void PriorityReserve::OnSent(int priority) {
  for (auto& [other, demand] : by_priority_) {
    if (other > priority) ++demand.overtakes;
    if (other == priority) demand.overtakes = 0;
  }
}

double PriorityReserve::FractionFor(int priority, TimePoint now) const {
  double more_urgent = 0;
  double all = 0;
  for (const auto& [other, demand] : by_priority_) {
    if (other == priority && demand.overtakes >= kMaxOvertakes) return 0;
    const auto arrivals = static_cast<double>(demand.arrivals.Count(now));
    all += arrivals;
    if (other < priority) more_urgent += arrivals;
  }
  return more_urgent == 0 ? 0 : options_.max_fraction * more_urgent / all;
}

int ReservedSlots(double fraction, int slots) {
  if (fraction <= 0 || slots <= 1) return 0;
  return std::clamp(static_cast<int>(std::lround(fraction * slots)), 1,
                    slots / 2);
}

}  // namespace mangohold
