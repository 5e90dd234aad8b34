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

class MapPlanning {
 public:
  struct Options {
    // The part of the mean load by which a copy must lower the most loaded
    // rank.
    double least_saving_per_copy = 0.03;
    // A plan is worth a switch if it lowers the mean skew by this much.
    double least_gain = 0.25;
  };
  // A plan that is worth a switch.
  struct Plan {
    GroupMap present;
    GroupMap next;
    double skew_before = 0;
    double skew_after = 0;
  };

  explicit MapPlanning(Options options) : options_(options) {}

  // Choices of one rank or of several in sum; without the engine's figures
  // they are dropped.
  void Add(const ExpertCounts& choices, const EngineFigures& engine);
  // Takes the demand that a leader before has kept, unless some is known.
  void Restore(const ExpertDemand& demand);
  // Ends a period of demand. `present` is the map in use, where known.
  void EndPeriod(const GroupMap* present);

  // Begins a plan for the map in use if enough is known and the map is uneven.
  // `paces` tells how many times as long as usual each rank takes.
  bool Begin(const GroupMap& present, const std::vector<double>& paces,
             const EngineFigures& engine);
  bool is_planning() const { return planner_.has_value(); }
  // Plans one set more. False once the plan is whole.
  bool PlanNextSet();
  // Ends planning. Nothing if the plan isn't worth a switch.
  std::optional<Plan> Take();

  const ExpertDemand& demand() const { return estimate_.demand(); }
  // True if the demand rests on enough choices for a plan.
  bool IsKnown() const;

 private:
  Options options_;
  DemandEstimate estimate_;
  std::optional<EvenPlanner> planner_;
  std::vector<double> paces_;  // by which the plan is made
};

}  // namespace mangohold
