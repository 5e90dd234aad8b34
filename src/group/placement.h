// Which ranks of a group hold which experts, and how an expert's tokens are
// divided between the ranks that hold it. Decisions only.
//
// All ranks advance in lock-step, so a layer's step takes as long as its
// slowest rank. A map has two parts: moving an expert into a slot costs its
// bytes from the rate-limited weight store, while new shares cost nothing to
// send.
#pragma once

#include <array>
#include <string_view>
#include <vector>

namespace mangohold {

// The size of one layer's map.
struct GroupShape {
  int ranks = 0;
  int experts = 0;
  int slots_per_rank = 0;  // more slots than experts are room for replicas

  int slots() const { return ranks * slots_per_rank; }
};

// What a map has to carry.
struct LayerLoad {
  std::vector<double> expert_load;  // tokens a step, by expert
  std::vector<double> rank_speed;   // tokens a unit of time, by rank
};

// One layer's map. Slot i belongs to rank i / slots_per_rank.
struct ExpertMap {
  GroupShape shape;
  std::vector<int> expert;    // by slot
  std::vector<double> share;  // of the expert's tokens, by slot

  int RankOf(int slot) const { return slot / shape.slots_per_rank; }
};

// The time of a step and how far its slowest rank is from the mean.
struct StepTime {
  double slowest = 0;
  double mean = 0;

  double skew() const { return mean > 0 ? slowest / mean : 1; }
};

// What a new map costs and how long it is expected to last.
struct PlanOptions {
  // Moving one expert, in units of step time: its bytes at the weight store's
  // rate, plus its part of the hold at the switch.
  double move_cost = 0;
  // Steps over which a saving counts.
  double horizon_steps = 0;
  // The least part of the step time that a move must save. Hysteresis keeps the
  // map from following noise.
  double min_saving = 0.005;
  // Moves in one plan, so that the weight store's rate is kept.
  int max_moves = 16;
};

// Experts dealt out in turn, with equal shares.
ExpertMap InitialMap(const GroupShape& shape);
StepTime TimeOf(const ExpertMap& map, const LayerLoad& load);
// Sets the shares that make the slowest rank as fast as the placement allows.
void BalanceShares(ExpertMap& map, const LayerLoad& load);
// Experts that must be loaded to go from one map to the other.
int CountMoves(const ExpertMap& from, const ExpertMap& to);

// A way to choose the next map from the present one.
struct PlacementStrategy {
  std::string_view name;
  ExpertMap (*plan)(const ExpertMap& current, const LayerLoad& load,
                    const PlanOptions& options);
};

// static: never moves. full: best map from scratch, whatever it costs.
// incremental: single moves that pay for themselves.
inline constexpr int kPlacementStrategyCount = 3;
const std::array<PlacementStrategy, kPlacementStrategyCount>&
PlacementStrategies();

}  // namespace mangohold
