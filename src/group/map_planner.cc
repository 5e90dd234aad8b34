#include "group/map_planner.h"

#include <algorithm>
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

// True if `counts` holds one number for each expert of some sets.
bool FitCounts(const ExpertCounts& counts, const ExpertLayout& layout) {
  if (layout.experts <= 0) return false;
  const auto width = static_cast<std::size_t>(layout.experts);
  const std::size_t sets = counts.size() / width;
  return counts.size() % width == 0 &&
         (layout.sets <= 0 || std::cmp_less_equal(sets, layout.sets));
}

bool FitsDemand(const ExpertDemand& demand, const GroupMap& map,
                const ExpertLayout& layout) {
  return demand.size() == map.size() &&
         std::ranges::all_of(demand, [&layout](const auto& set) {
           return std::ssize(set) == layout.experts;
         });
}

// The numbers in a map and in a demand are used as indexes of each other, so
// both have to fit the engine's figures.
bool IsPlannable(const GroupMap& map, const ExpertLayout& layout) {
  return layout.experts > 0 && CheckMap(map, layout).ok();
}

}  // namespace

void MapPlanner::Add(const ExpertCounts& counts, const EngineFigures& engine) {
  layout_ = LayoutOf(engine);
  if (FitCounts(counts, layout_)) estimate_.Add(counts, engine.experts);
}

void MapPlanner::Restore(const ExpertDemand& demand) {
  estimate_.Restore(demand, kRestoredWeight * MinTotalCount(demand));
}

void MapPlanner::EndPeriod(const GroupMap* current) {
  const bool is_usable = current != nullptr && IsPlannable(*current, layout_);
  estimate_.EndPeriod(is_usable ? current : nullptr);
}

bool MapPlanner::HasEnoughSamples() const {
  return estimate_.TotalCount() >= MinTotalCount(estimate_.demand());
}

bool MapPlanner::Begin(const GroupMap& current,
                       const std::vector<double>& slowdowns,
                       const EngineFigures& engine) {
  const ExpertDemand& demand = estimate_.demand();
  const ExpertLayout layout = LayoutOf(engine);
  if (planner_ || !IsPlannable(current, layout)) return false;
  if (!FitsDemand(demand, current, layout)) return false;
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
