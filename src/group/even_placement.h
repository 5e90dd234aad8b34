// Placement of experts on ranks, for engines that divide an expert's tokens
// evenly among the ranks that hold it. Pure computation: no clock and no
// network.
//
// In each expert set, a forward pass takes as long as its most loaded rank. The
// planner improves a set's map by greedy local search. Each step relieves the
// most loaded rank in one of these ways:
// - copy one of its experts to a less loaded rank, into a free slot or in place
//   of an expert that another rank holds too;
// - swap one of its experts with one of a less loaded rank;
// - drop one of its experts that another rank holds too.
// Each copy transfers the weights of an expert, so steps that save little per
// copy are skipped.
#pragma once

#include <cstddef>
#include <vector>

namespace mangohold {

// For one expert set, the experts that each rank holds.
using SetMap = std::vector<std::vector<int>>;
// The expert map of a group, by expert set.
using GroupMap = std::vector<SetMap>;
// Tokens routed to each expert, by expert set.
using ExpertDemand = std::vector<std::vector<double>>;

struct EvenPlacementOptions {
  int slots_per_rank = 0;  // maximum number of experts of a set on a rank
  int spare_slots = 0;     // maximum number of copies to a rank, per set
  // Maximum number of copies to a rank over all sets. A rank makes its copies
  // one after another.
  int max_copies_per_rank = 3;
  // Minimum saving of each copy, as a fraction of the mean load of a rank.
  double min_saving_per_copy = 0.02;
  // Step time of each rank relative to its usual one, e.g. 2 for a rank that
  // takes twice as long. Ranks beyond the end have 1.
  std::vector<double> slowdowns;
};

// Returns a map that assigns each expert to one rank, round-robin.
SetMap RoundRobinMap(int ranks, int experts);
// Returns the load of each rank in tokens. The tokens of experts that no rank
// holds are left out.
std::vector<double> RankLoads(const SetMap& map,
                              const std::vector<double>& demand);
// Returns the time of the slowest rank divided by the time that the mean load
// takes on a rank with a slowdown of 1. 1 means balanced; also returned if
// there is no load.
double SkewOf(const SetMap& map, const std::vector<double>& demand,
              const std::vector<double>& slowdowns = {});
// Returns the mean skew over the sets; 1 if there are none.
double SkewOf(const GroupMap& map, const ExpertDemand& demand,
              const std::vector<double>& slowdowns = {});
// Plans the next map of one set. `copies` holds the number of copies already
// planned for each rank in other sets; those of this set are added.
SetMap PlanSetMap(const SetMap& current, const std::vector<double>& demand,
                  const EvenPlacementOptions& options,
                  std::vector<int>& copies);
// Plans the next map of a group, one set per call, so that an event loop can
// handle other events in between. The set with the largest skew is planned
// first, as all sets share the limit on copies per rank.
class EvenPlacementPlanner {
 public:
  // `current` and `demand` must have the same sets.
  EvenPlacementPlanner(GroupMap current, ExpertDemand demand,
                       EvenPlacementOptions options);

  // Plans the next set. Returns false once all sets are planned.
  bool PlanNextSet();
  bool is_done() const { return planned_count_ == order_.size(); }
  const GroupMap& current() const { return current_; }
  const ExpertDemand& demand() const { return demand_; }
  // Sets that aren't planned yet are as in `current()`.
  const GroupMap& map() const { return next_; }

 private:
  GroupMap current_;
  ExpertDemand demand_;
  EvenPlacementOptions options_;
  GroupMap next_;
  std::vector<std::size_t> order_;
  std::size_t planned_count_ = 0;
  std::vector<int> copies_;  // planned so far, by rank
};

// Plans the next map of a group in one call.
GroupMap PlanGroupMap(const GroupMap& current, const ExpertDemand& demand,
                      const EvenPlacementOptions& options);
// Returns the number of copies that ranks must make to switch from one map to
// the other.
int CountCopies(const GroupMap& from, const GroupMap& to);

}  // namespace mangohold
