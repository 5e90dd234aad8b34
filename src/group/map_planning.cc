#include "group/map_planning.h"

#include <utility>

namespace mangohold {
namespace {

// Choices that a plan has to rest on, for each expert of all sets.
constexpr double kLeastChoicesPerExpert = 20;
// Demand that was kept has the weight of this many plans.
constexpr double kRestoredPlans = 4;

double LeastChoices(const ExpertDemand& demand) {
  return demand.empty()
             ? 0
             : kLeastChoicesPerExpert *
                   static_cast<double>(demand.size() * demand.front().size());
}

}  // namespace

void MapPlanning::Add(const ExpertCounts& choices,
                      const EngineFigures& engine) {
  estimate_.Add(choices, engine.experts);
}

void MapPlanning::Restore(const ExpertDemand& demand) {
  estimate_.Restore(demand, kRestoredPlans * LeastChoices(demand));
}

void MapPlanning::EndPeriod(const GroupMap* present) {
  estimate_.EndPeriod(present);
}

bool MapPlanning::IsKnown() const {
  return estimate_.Weight() >= LeastChoices(estimate_.demand());
}

bool MapPlanning::Begin(const GroupMap& present,
                        const std::vector<double>& paces,
                        const EngineFigures& engine) {
  const ExpertDemand& demand = estimate_.demand();
  if (planner_ || present.size() != demand.size()) return false;
  if (!IsKnown()) return false;
  if (SkewOf(present, demand, paces) < 1 + options_.least_gain) return false;
  paces_ = paces;
  planner_.emplace(present, demand,
                   EvenPlacementOptions{
                       .places = engine.places,
                       .spare_places = engine.spare_places,
                       .least_saving_per_copy = options_.least_saving_per_copy,
                       .paces = paces});
  return true;
}

bool MapPlanning::PlanNextSet() { return planner_ && planner_->PlanNextSet(); }

std::optional<MapPlanning::Plan> MapPlanning::Take() {
  const auto planner = std::exchange(planner_, std::nullopt);
  if (!planner) return std::nullopt;
  Plan plan{
      .present = planner->present(),
      .next = planner->map(),
      .skew_before = SkewOf(planner->present(), planner->demand(), paces_),
      .skew_after = SkewOf(planner->map(), planner->demand(), paces_)};
  if (plan.skew_before - plan.skew_after < options_.least_gain) {
    return std::nullopt;
  }
  return plan;
}

}  // namespace mangohold
