#include "group/even_placement.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <span>
#include <utility>

namespace mangohold {
namespace {

// Maximum number of steps for a set. The limits on copies end the search much
// earlier.
constexpr int kMaxSteps = 256;
// Number of experts of the most loaded rank that each step considers, those
// with the largest share of tokens first.
constexpr int kTriedExperts = 6;
// Number of ranks that each step considers as targets, the least loaded ones.
constexpr std::size_t kTriedRanks = 16;

bool Holds(const std::vector<int>& experts, int expert) {
  return std::ranges::find(experts, expert) != experts.end();
}

// Returns the number of experts in `after` that aren't in `before`.
int CountNew(const std::vector<int>& before, const std::vector<int>& after) {
  return static_cast<int>(std::ranges::count_if(
      after, [&before](int expert) { return !Holds(before, expert); }));
}

double SlowdownOf(const std::vector<double>& slowdowns, std::size_t rank) {
  return rank < slowdowns.size() ? slowdowns[rank] : 1.0;
}

// Greedy search for a better map of one set. A candidate step is evaluated only
// on the ranks whose load it changes, so that the cost of an evaluation hardly
// depends on the size of the group.
class SetSearch {
 public:
  SetSearch(const SetMap& current, const std::vector<double>& demand,
            const EvenPlacementOptions& options, const std::vector<int>& copies)
      : current_(current),
        map_(current),
        demand_(demand),
        options_(options),
        copies_(copies),
        new_counts_(current.size()),
        holders_(demand.size()),
        loads_(RankLoads(current, demand)),
        load_changes_(current.size()) {
    for (std::size_t rank = 0; rank < map_.size(); ++rank) {
      for (const int expert : map_[rank]) {
        holders_[expert].push_back(static_cast<int>(rank));
      }
    }
    mean_ = std::accumulate(loads_.begin(), loads_.end(), 0.0) /
            static_cast<double>(loads_.size());
    for (std::size_t rank = 0; rank < loads_.size(); ++rank) {
      loads_[rank] *= SlowdownOf(options_.slowdowns, rank);
    }
    order_.resize(loads_.size());
    std::iota(order_.begin(), order_.end(), 0);
    Sort();
  }

  // Applies the step that saves the most per copy. Returns false if no step
  // saves enough.
  bool Improve() {
    const int most_loaded = order_.front();
    std::optional<Step> best;
    for (const int expert : HeaviestExperts(most_loaded)) {
      ConsiderDrop(expert, most_loaded, best);
      for (const int rank : LeastLoadedRanks()) {
        if (rank == most_loaded || Holds(map_[rank], expert)) continue;
        ConsiderCopy(expert, rank, best);
        ConsiderSwap(expert, most_loaded, rank, best);
      }
    }
    if (!best) return false;
    Apply(*best);
    return true;
  }

  const SetMap& map() const { return map_; }

 private:
  struct Step {
    int expert = 0;
    int to = -1;       // rank that receives `expert`; -1: `from` drops it
    int dropped = -1;  // expert that leaves `to`; -1: none
    int from = -1;     // rank that loses `expert`; -1: none
    double saving_per_copy = 0;  // reduction of Cost() per copy
  };

  // Sorts the ranks by load, the most loaded one first, and computes the
  // squared excess of the loads.
  void Sort() {
    std::ranges::sort(order_, std::greater<>(),
                      [this](int rank) { return loads_[rank]; });
    squared_excess_ = 0;
    for (const double load : loads_) squared_excess_ += SquaredExcess(load);
  }

  std::span<const int> LeastLoadedRanks() const {
    const std::span<const int> ranks(order_);
    return ranks.last(std::min<std::size_t>(ranks.size(), kTriedRanks));
  }

  double SquaredExcess(double load) const {
    const double excess = std::max(0.0, load - mean_);
    return excess * excess;
  }

  int HolderCount(int expert) const {
    return static_cast<int>(holders_[expert].size());
  }

  double ShareOf(int expert) const {
    return demand_[expert] / std::max(1, HolderCount(expert));
  }

  std::vector<int> HeaviestExperts(int rank) const {
    std::vector<int> experts = map_[rank];
    std::ranges::sort(experts, std::greater<>(),
                      [this](int expert) { return ShareOf(expert); });
    if (std::ssize(experts) > kTriedExperts) experts.resize(kTriedExperts);
    return experts;
  }

  bool IsNew(int rank, int expert) const {
    return !Holds(current_[rank], expert);
  }

  bool CanAdd(int rank, int expert) const {
    return !IsNew(rank, expert) ||
           (new_counts_[rank] < options_.spare_slots &&
            new_counts_[rank] + copies_[rank] < options_.max_copies_per_rank);
  }

  void ConsiderDrop(int expert, int rank, std::optional<Step>& best) {
    if (HolderCount(expert) < 2) return;
    Consider({.expert = expert, .from = rank}, best);
  }

  // Considers copying `expert` to `rank`, into a free slot or in place of an
  // expert that another rank holds too.
  void ConsiderCopy(int expert, int rank, std::optional<Step>& best) {
    if (!CanAdd(rank, expert)) return;
    if (std::ssize(map_[rank]) < options_.slots_per_rank) {
      return Consider({.expert = expert, .to = rank}, best);
    }
    for (const int dropped : map_[rank]) {
      if (HolderCount(dropped) < 2) continue;
      Consider({.expert = expert, .to = rank, .dropped = dropped}, best);
    }
  }

  void ConsiderSwap(int expert, int from, int to, std::optional<Step>& best) {
    if (!CanAdd(to, expert)) return;
    for (const int returned : map_[to]) {
      if (Holds(map_[from], returned) || !CanAdd(from, returned)) continue;
      if (ShareOf(returned) >= ShareOf(expert)) continue;
      Consider({.expert = expert, .to = to, .dropped = returned, .from = from},
               best);
    }
  }

  // Evaluates a step, and makes it the best one if it saves more per copy.
  void Consider(Step step, std::optional<Step>& best) {
    ComputeChanges(step);
    const double after = CostAfterChanges();
    ClearChanges();
    int copies = step.to >= 0 && IsNew(step.to, step.expert) ? 1 : 0;
    const bool is_swap = step.dropped >= 0 && step.from >= 0;
    if (is_swap && IsNew(step.from, step.dropped)) ++copies;
    const double before = Cost(loads_[order_.front()], squared_excess_);
    step.saving_per_copy = (before - after) / std::max(1, copies);
    if (step.saving_per_copy < options_.min_saving_per_copy * mean_) return;
    if (!best || step.saving_per_copy > best->saving_per_copy) best = step;
  }

  // Cost of a map: the maximum load, plus a smaller term for all loads above
  // the mean. Without that term, relieving only one of several equally loaded
  // ranks would save nothing.
  double Cost(double max_load, double squared_excess) const {
    return max_load + (mean_ > 0 ? 0.25 * squared_excess / mean_ : 0);
  }

  double CostAfterChanges() const {
    const auto unchanged = std::ranges::find_if(
        order_, [this](int rank) { return load_changes_[rank] == 0; });
    double max_load = unchanged == order_.end() ? 0 : loads_[*unchanged];
    double squared_excess = squared_excess_;
    for (const int rank : changed_ranks_) {
      const double load = loads_[rank] + load_changes_[rank];
      max_load = std::max(max_load, load);
      squared_excess += SquaredExcess(load) - SquaredExcess(loads_[rank]);
    }
    return Cost(max_load, squared_excess);
  }

  // Adds `load`, weighted by the rank's slowdown, to the load change of a rank.
  void AddLoad(int rank, double load) {
    if (load_changes_[rank] == 0) changed_ranks_.push_back(rank);
    load_changes_[rank] += load * SlowdownOf(options_.slowdowns, rank);
  }

  // Adds the load changes that follow from a new number of holders of `expert`
  // to all of its current holders, except `excluded`.
  void AddShareChange(int expert, int holders, int excluded) {
    const double change = demand_[expert] / holders - ShareOf(expert);
    for (const int rank : holders_[expert]) {
      if (rank != excluded) AddLoad(rank, change);
    }
  }

  void ClearChanges() {
    for (const int rank : changed_ranks_) load_changes_[rank] = 0;
    changed_ranks_.clear();
  }

  void ComputeChanges(const Step& step) {
    const bool is_swap = step.from >= 0 && step.to >= 0;
    const int before = HolderCount(step.expert);
    const double share = ShareOf(step.expert);
    if (step.to < 0) {
      AddShareChange(step.expert, before - 1, step.from);
      return AddLoad(step.from, -share);
    }
    if (is_swap) {
      const double returned_share = ShareOf(step.dropped);
      AddLoad(step.to, share - returned_share);
      return AddLoad(step.from, returned_share - share);
    }
    AddShareChange(step.expert, before + 1, -1);
    AddLoad(step.to, demand_[step.expert] / (before + 1));
    if (step.dropped < 0) return;
    AddShareChange(step.dropped, HolderCount(step.dropped) - 1, step.to);
    AddLoad(step.to, -ShareOf(step.dropped));
  }

  void AddExpert(int rank, int expert) {
    map_[rank].push_back(expert);
    holders_[expert].push_back(rank);
    if (IsNew(rank, expert)) ++new_counts_[rank];
  }

  void RemoveExpert(int rank, int expert) {
    std::erase(map_[rank], expert);
    std::erase(holders_[expert], rank);
    if (IsNew(rank, expert)) --new_counts_[rank];
  }

  void Apply(const Step& step) {
    ComputeChanges(step);
    for (const int rank : changed_ranks_) loads_[rank] += load_changes_[rank];
    ClearChanges();
    Sort();
    if (step.from >= 0) RemoveExpert(step.from, step.expert);
    if (step.to < 0) return;
    AddExpert(step.to, step.expert);
    if (step.dropped < 0) return;
    RemoveExpert(step.to, step.dropped);
    if (step.from >= 0) AddExpert(step.from, step.dropped);
  }

  const SetMap& current_;
  SetMap map_;
  const std::vector<double>& demand_;
  const EvenPlacementOptions& options_;
  const std::vector<int>& copies_;         // in other sets, by rank
  std::vector<int> new_counts_;            // copies to each rank
  std::vector<std::vector<int>> holders_;  // ranks that hold each expert
  std::vector<double> loads_;              // by rank, times its slowdown
  double mean_ = 0;                        // of the loads without slowdowns
  std::vector<int> order_;                 // ranks, the most loaded one first
  double squared_excess_ = 0;
  // Load changes of the step being evaluated, and the ranks that have one.
  std::vector<double> load_changes_;
  std::vector<int> changed_ranks_;
};

// Returns the sets in descending order of skew.
std::vector<std::size_t> SetsBySkew(const GroupMap& map,
                                    const ExpertDemand& demand,
                                    const std::vector<double>& slowdowns) {
  std::vector<double> skews;
  for (std::size_t set = 0; set < map.size(); ++set) {
    skews.push_back(SkewOf(map[set], demand[set], slowdowns));
  }
  std::vector<std::size_t> order(map.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(order, std::greater<>(),
                    [&](std::size_t set) { return skews[set]; });
  return order;
}

}  // namespace

SetMap RoundRobinMap(int ranks, int experts) {
  SetMap map(static_cast<std::size_t>(ranks));
  for (int expert = 0; expert < experts; ++expert) {
    map[expert % ranks].push_back(expert);
  }
  return map;
}

std::vector<double> RankLoads(const SetMap& map,
                              const std::vector<double>& demand) {
  std::vector<int> holders(demand.size());
  for (const auto& experts : map) {
    for (const int expert : experts) ++holders[expert];
  }
  std::vector<double> loads(map.size());
  for (std::size_t rank = 0; rank < map.size(); ++rank) {
    for (const int expert : map[rank]) {
      loads[rank] += demand[expert] / holders[expert];
    }
  }
  return loads;
}

double SkewOf(const SetMap& map, const std::vector<double>& demand,
              const std::vector<double>& slowdowns) {
  std::vector<double> loads = RankLoads(map, demand);
  const double sum = std::accumulate(loads.begin(), loads.end(), 0.0);
  if (sum <= 0) return 1;
  for (std::size_t rank = 0; rank < loads.size(); ++rank) {
    loads[rank] *= SlowdownOf(slowdowns, rank);
  }
  return std::ranges::max(loads) * static_cast<double>(loads.size()) / sum;
}

double SkewOf(const GroupMap& map, const ExpertDemand& demand,
              const std::vector<double>& slowdowns) {
  double sum = 0;
  for (std::size_t set = 0; set < map.size(); ++set) {
    sum += SkewOf(map[set], demand[set], slowdowns);
  }
  return map.empty() ? 1 : sum / static_cast<double>(map.size());
}

SetMap PlanSetMap(const SetMap& current, const std::vector<double>& demand,
                  const EvenPlacementOptions& options,
                  std::vector<int>& copies) {
  SetSearch search(current, demand, options, copies);
  for (int step = 0; step < kMaxSteps && search.Improve(); ++step) {
  }
  for (std::size_t rank = 0; rank < current.size(); ++rank) {
    copies[rank] += CountNew(current[rank], search.map()[rank]);
  }
  return search.map();
}

EvenPlacementPlanner::EvenPlacementPlanner(GroupMap current,
                                           ExpertDemand demand,
                                           EvenPlacementOptions options)
    : current_(std::move(current)),
      demand_(std::move(demand)),
      options_(std::move(options)),
      next_(current_),
      order_(SetsBySkew(current_, demand_, options_.slowdowns)),
      copies_(current_.empty() ? 0 : current_.front().size()) {}

bool EvenPlacementPlanner::PlanNextSet() {
  if (is_done()) return false;
  const std::size_t set = order_[planned_count_++];
  next_[set] = PlanSetMap(current_[set], demand_[set], options_, copies_);
  return !is_done();
}

GroupMap PlanGroupMap(const GroupMap& current, const ExpertDemand& demand,
                      const EvenPlacementOptions& options) {
  EvenPlacementPlanner planner(current, demand, options);
  while (planner.PlanNextSet()) {
  }
  return planner.map();
}

int CountCopies(const GroupMap& from, const GroupMap& to) {
  int copies = 0;
  for (std::size_t set = 0; set < to.size(); ++set) {
    for (std::size_t rank = 0; rank < to[set].size(); ++rank) {
      copies += CountNew(from[set][rank], to[set][rank]);
    }
  }
  return copies;
}

}  // namespace mangohold
