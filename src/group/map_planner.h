// Plans a group's next expert map from the expert counts of its ranks:
// estimates the demand, decides when planning is worthwhile, and whether a plan
// is worth a switch. Pure computation: no clock and no network.
#pragma once

#include <optional>
#include <vector>

#include "backend/engine_api.h"
#include "config/deployment.h"
#include "group/even_placement.h"
#include "group/expert_demand.h"
#include "group/expert_lists.h"

namespace mangohold {

class MapPlanner {
 public:
  struct Options {
    // Minimum saving of each copy, as a fraction of the mean load of a rank.
    double min_saving_per_copy = 0.03;
    // A plan is worth a switch if it lowers the mean skew by at least this
    // much. Planning begins only if the mean skew exceeds the ideal of 1 by as
    // much.
    double min_gain = 0.25;
  };
  // A plan that is worth a switch.
  struct Plan {
    GroupMap current;
    GroupMap next;
    double skew_before = 0;
    double skew_after = 0;
  };

  explicit MapPlanner(Options options) : options_(options) {}

  // Adds the expert counts of one rank, or the sum of several ranks' counts.
  // Ignored if they don't fit the experts of `engine`.
  void Add(const ExpertCounts& counts, const EngineFigures& engine);
  // Sets the demand to the one that an earlier leader saved. Does nothing if
  // there is an estimate already.
  void Restore(const ExpertDemand& demand);
  // Ends a period of demand. `current` is the map in use; null if unknown. A
  // map that doesn't fit the engine's figures counts as unknown.
  void EndPeriod(const GroupMap* current);

  // Begins a plan if the map in use, `current`, and the demand fit the engine's
  // figures, the demand rests on enough counts, and the map is uneven.
  // `slowdowns` holds, for each rank, its step time
  // relative to its usual one. Returns false if no plan was started.
  bool Begin(const GroupMap& current, const std::vector<double>& slowdowns,
             const EngineFigures& engine);
  bool is_planning() const { return planner_.has_value(); }
  // Plans the next set. Returns false once all sets are planned, or if no plan
  // is in progress.
  bool PlanNextSet();
  // Ends planning and returns the plan. Returns nullopt if no plan is in
  // progress or it isn't worth a switch. Sets that weren't planned keep their
  // current map.
  std::optional<Plan> Take();

  const ExpertDemand& demand() const { return estimate_.demand(); }
  // True if the demand rests on enough counts for a plan.
  bool HasEnoughSamples() const;

 private:
  Options options_;
  ExpertLayout layout_;  // of the engine whose counts were added last
  DemandEstimate estimate_;
  std::optional<EvenPlacementPlanner> planner_;
  std::vector<double> slowdowns_;  // of the plan in progress
};

}  // namespace mangohold
