// From what the ranks of a group chose to its next map: what is in demand, when
// a plan is worth making, and whether it is worth a switch. No clock and no
// network.
#pragma once

#include <optional>
#include <vector>

#include "backend/engine_api.h"
#include "config/deployment.h"
#include "group/even_placement.h"
#include "group/expert_demand.h"

namespace mangohold {

class MapPlanner {
 public:
  struct Options {
    // The part of the mean load by which a copy must lower the most loaded
    // rank.
    double min_saving_per_copy = 0.03;
    // A plan is worth a switch if it lowers the mean skew by this much.
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

  // Choices of one rank or of several in sum; without the engine's figures
  // they are dropped.
  void Add(const ExpertCounts& counts, const EngineFigures& engine);
  // Takes the demand that a leader before has kept, unless some is known.
  void Restore(const ExpertDemand& demand);
  // Ends a period of demand. `present` is the map in use, where known.
  void EndPeriod(const GroupMap* current);

  // Begins a plan for the map in use if enough is known and the map is uneven.
  // `paces` tells how many times as long as usual each rank takes.
  bool Begin(const GroupMap& current, const std::vector<double>& slowdowns,
             const EngineFigures& engine);
  bool is_planning() const { return planner_.has_value(); }
  // Plans one set more. False once the plan is whole.
  bool PlanNextSet();
  // Ends planning. Nothing if the plan isn't worth a switch.
  std::optional<Plan> Take();

  const ExpertDemand& demand() const { return estimate_.demand(); }
  // True if the demand rests on enough choices for a plan.
  bool HasEnoughSamples() const;

 private:
  Options options_;
  DemandEstimate estimate_;
  std::optional<EvenPlacementPlanner> planner_;
  std::vector<double> slowdowns_;  // by which the plan is made
};

}  // namespace mangohold
