// Maps of experts to ranks for engines that share an expert's tokens evenly
// among the ranks that hold it. Decisions only.
//
// A pass takes, set by set, as long as its most loaded rank. A map is improved
// by copies: an expert of the most loaded rank is copied to a rank that carries
// less, into a free place or in place of an expert that is held elsewhere too,
// two experts change places, or one that is held elsewhere is given up. Each
// copy costs its bytes, so that one which saves little is left out.
#pragma once

#include <cstddef>
#include <vector>

namespace mangohold {

// The experts of one set that each rank holds.
using SetMap = std::vector<std::vector<int>>;
// A group's map, by set.
using GroupMap = std::vector<SetMap>;
// Tokens that chose each expert, by set.
using ExpertDemand = std::vector<std::vector<double>>;

struct EvenPlacementOptions {
  int slots_per_rank = 0;  // experts a rank and set at the most
  int spare_slots = 0;     // experts of a set that may be new to a rank
  // Experts of all sets that may be new to a rank, since it copies them one
  // after the other.
  int max_copies_per_rank = 3;
  // The part of the mean load by which a copy must lower the most loaded rank.
  double min_saving_per_copy = 0.02;
  // How many times as long as usual each rank takes; empty: all as usual.
  std::vector<double> slowdowns;
};

// Experts dealt out in turn, each to one rank.
SetMap RoundRobinMap(int ranks, int experts);
// Load of each rank; experts that no rank holds count for none.
std::vector<double> RankLoads(const SetMap& map,
                              const std::vector<double>& demand);
// The time of the slowest rank over that of a mean load at the usual pace; 1
// without any load.
double SkewOf(const SetMap& map, const std::vector<double>& demand,
              const std::vector<double>& slowdowns = {});
// The mean over the sets.
double SkewOf(const GroupMap& map, const ExpertDemand& demand,
              const std::vector<double>& slowdowns = {});
// The next map of one set. `copies` are those that each rank makes already, and
// is raised by those of this set.
SetMap PlanSetMap(const SetMap& current, const std::vector<double>& demand,
                  const EvenPlacementOptions& options,
                  std::vector<int>& copies);
// Plans the next map of a group, the most uneven set first, one set at a call,
// so that a loop may turn in between.
class EvenPlacementPlanner {
 public:
  // `present` and `demand` have the same sets.
  EvenPlacementPlanner(GroupMap current, ExpertDemand demand,
                       EvenPlacementOptions options);

  // False once all sets are planned.
  bool PlanNextSet();
  bool is_done() const { return planned_count_ == order_.size(); }
  const GroupMap& current() const { return current_; }
  const ExpertDemand& demand() const { return demand_; }
  const GroupMap& map() const { return next_; }

 private:
  GroupMap current_;
  ExpertDemand demand_;
  EvenPlacementOptions options_;
  GroupMap next_;
  std::vector<std::size_t> order_;
  std::size_t planned_count_ = 0;
  std::vector<int> copies_;  // by rank
};

// The same at once.
GroupMap PlanGroupMap(const GroupMap& current, const ExpertDemand& demand,
                      const EvenPlacementOptions& options);
// Experts that ranks must copy to go from one map to the other.
int CountCopies(const GroupMap& from, const GroupMap& to);

}  // namespace mangohold
