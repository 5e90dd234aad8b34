// Placement of experts on the ranks of a group, for engines that can divide an
// expert's tokens unevenly between its replicas. Pure computation: no clock and
// no network.
//
// All ranks advance in lock-step, so a layer's step takes as long as its
// slowest rank. A map has two parts: the expert in each slot and the share of
// the expert's tokens that the slot receives. Loading an expert into a slot
// transfers its weights from the rate-limited weight store, while changing
// shares is free.
#pragma once

#include <array>
#include <string_view>
#include <vector>

namespace mangohold {

// Dimensions of one layer's map.
struct GroupShape {
  int ranks = 0;
  int experts = 0;
  int slots_per_rank = 0;  // slots beyond one per expert hold replicas

  int slots() const { return ranks * slots_per_rank; }
};

// Load and speed for which a layer's map is evaluated.
struct LayerLoad {
  std::vector<double> expert_load;  // tokens per step, by expert
  std::vector<double> rank_speed;   // tokens per unit of time, by rank
};

// Expert map of one layer. Slot i belongs to rank i / slots_per_rank.
struct ExpertMap {
  GroupShape shape;
  std::vector<int> expert;    // by slot
  std::vector<double> share;  // of the expert's tokens, by slot

  int RankOf(int slot) const { return slot / shape.slots_per_rank; }
};

// Time that the ranks take for a step, in the unit of `LayerLoad::rank_speed`.
struct StepTime {
  double slowest = 0;
  double mean = 0;

  // 1: balanced.
  double skew() const { return mean > 0 ? slowest / mean : 1; }
};

// Cost of changing a map, and limits of a plan.
struct PlanOptions {
  // Cost of moving one expert, in units of step time: the transfer of its
  // weights at the weight store's rate, plus its part of the hold during the
  // switch.
  double move_cost = 0;
  // Number of steps for which the new map is expected to be in use.
  double horizon_steps = 0;
  // Minimum saving of a move, as a fraction of the step time. This hysteresis
  // keeps the map from following noise.
  double min_saving = 0.005;
  // Maximum number of moves in one plan, which limits the load on the weight
  // store.
  int max_moves = 16;
};

// Returns a map that assigns experts to slots in turn, with equal shares for
// the replicas of an expert.
ExpertMap InitialMap(const GroupShape& shape);
// Returns the time of a step with this map.
StepTime TimeOf(const ExpertMap& map, const LayerLoad& load);
// Sets the shares so that the slowest rank is as fast as possible without
// moving an expert.
void BalanceShares(ExpertMap& map, const LayerLoad& load);
// Returns the number of experts that must be loaded to switch from one map to
// the other.
int CountMoves(const ExpertMap& from, const ExpertMap& to);

// A strategy that plans the next map from the current one.
struct PlacementStrategy {
  std::string_view name;
  ExpertMap (*plan)(const ExpertMap& current, const LayerLoad& load,
                    const PlanOptions& options);
};

// The strategies, in this order:
// - static: never changes the map;
// - full: computes a map from scratch, regardless of the number of moves;
// - incremental: rebalances shares, then makes single moves that save more than
//   they cost.
inline constexpr int kPlacementStrategyCount = 3;
const std::array<PlacementStrategy, kPlacementStrategyCount>&
PlacementStrategies();

}  // namespace mangohold
