#include "group/map_planner.h"

#include <utility>

namespace mangohold {
namespace {

// Minimum total count for a plan, per expert of all sets.
constexpr double kMinCountPerExpert = 20;
// The weight of restored demand, in multiples of the minimum total count.
constexpr double kRestoredWeight = 4;

double MinTotalCount(const ExpertDemand& demand) {
  return demand.empty()
             ? 0
             : kMinCountPerExpert *
                   static_cast<double>(demand.size() * demand.front().size());
}

}  // namespace

void MapPlanner::Add(const ExpertCounts& counts, const EngineFigures& engine) {
  estimate_.Add(counts, engine.experts);
}

void MapPlanner::Restore(const ExpertDemand& demand) {
  estimate_.Restore(demand, kRestoredWeight * MinTotalCount(demand));
}

void MapPlanner::EndPeriod(const GroupMap* current) {
  estimate_.EndPeriod(current);
}

bool MapPlanner::HasEnoughSamples() const {
  return estimate_.TotalCount() >= MinTotalCount(estimate_.demand());
}

bool MapPlanner::Begin(const GroupMap& current,
                       const std::vector<double>& slowdowns,
                       const EngineFigures& engine) {
  const ExpertDemand& demand = estimate_.demand();
  if (planner_ || current.size() != demand.size()) return false;
  if (!HasEnoughSamples()) return false;
  if (SkewOf(current, demand, slowdowns) < 1 + options_.min_gain) return false;
  slowdowns_ = slowdowns;
  planner_.emplace(
      current, demand,
      EvenPlacementOptions{.slots_per_rank = engine.places,
                           .spare_slots = engine.spare_places,
                           .min_saving_per_copy = options_.min_saving_per_copy,
                           .slowdowns = slowdowns});
  return true;
}

bool MapPlanner::PlanNextSet() { return planner_ && planner_->PlanNextSet(); }

std::optional<MapPlanner::Plan> MapPlanner::Take() {
  const auto planner = std::exchange(planner_, std::nullopt);
  if (!planner) return std::nullopt;
  Plan plan{
      .current = planner->current(),
      .next = planner->map(),
      .skew_before = SkewOf(planner->current(), planner->demand(), slowdowns_),
      .skew_after = SkewOf(planner->map(), planner->demand(), slowdowns_)};
  if (plan.skew_before - plan.skew_after < options_.min_gain) {
    return std::nullopt;
  }
  return plan;
}

}  // namespace mangohold
