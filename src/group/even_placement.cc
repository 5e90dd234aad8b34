#include "group/even_placement.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace mangohold {
namespace {

// Steps of improvement in one plan, far more than copies allow.
constexpr int kMostSteps = 256;
// Experts of the most loaded rank that are tried, the heaviest first.
constexpr int kExpertsTried = 6;

bool Holds(const std::vector<int>& experts, int expert) {
  return std::ranges::find(experts, expert) != experts.end();
}

// Experts that `after` holds and `before` doesn't.
int CountNew(const std::vector<int>& before, const std::vector<int>& after) {
  return static_cast<int>(std::ranges::count_if(
      after, [&before](int expert) { return !Holds(before, expert); }));
}

double PaceOf(const std::vector<double>& paces, std::size_t rank) {
  return rank < paces.size() ? paces[rank] : 1.0;
}

// A map in the making, with the figures that each step needs.
class Plan {
 public:
  Plan(const SetMap& present, const std::vector<double>& demand,
       const EvenPlacementOptions& options, const std::vector<int>& copies)
      : present_(present),
        map_(present),
        demand_(demand),
        options_(options),
        copies_(copies) {
    holders_.resize(demand.size());
    for (const auto& experts : map_) {
      for (const int expert : experts) ++holders_[expert];
    }
    loads_ = RankLoads(map_, demand_);
    mean_ = std::accumulate(loads_.begin(), loads_.end(), 0.0) /
            static_cast<double>(loads_.size());
    for (std::size_t rank = 0; rank < loads_.size(); ++rank) {
      loads_[rank] *= PaceOf(options_.paces, rank);
    }
  }

  // One step that lowers the most loaded rank enough. False if there is none.
  bool Improve() {
    const int worst = MostLoaded();
    std::optional<Step> best;
    for (const int expert : HeaviestOf(worst)) {
      ConsiderDrop(expert, worst, best);
      for (int rank = 0; rank < std::ssize(map_); ++rank) {
        if (rank == worst || Holds(map_[rank], expert)) continue;
        ConsiderCopy(expert, rank, best);
        ConsiderSwap(expert, worst, rank, best);
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
    int to = -1;       // -1: the expert is given up by `from`
    int dropped = -1;  // expert that leaves `to`; -1: a place is free
    int from = -1;     // rank that gives `expert` up; -1: none
    double value = 0;  // what it saves for each copy
  };

  int MostLoaded() const {
    return static_cast<int>(std::ranges::max_element(loads_) - loads_.begin());
  }

  double ShareOf(int expert) const {
    return demand_[expert] / std::max(1, holders_[expert]);
  }

  std::vector<int> HeaviestOf(int rank) const {
    std::vector<int> experts = map_[rank];
    std::ranges::sort(experts, std::greater<>(),
                      [this](int expert) { return ShareOf(expert); });
    if (std::ssize(experts) > kExpertsTried) experts.resize(kExpertsTried);
    return experts;
  }

  bool IsNew(int rank, int expert) const {
    return !Holds(present_[rank], expert);
  }

  bool MayTakeNew(int rank, int expert) const {
    if (!IsNew(rank, expert)) return true;
    const auto fresh = std::ranges::count_if(
        map_[rank], [&](int held) { return IsNew(rank, held); });
    return fresh < options_.spare_places &&
           fresh + copies_[rank] < options_.most_copies;
  }

  void ConsiderDrop(int expert, int rank, std::optional<Step>& best) const {
    if (holders_[expert] < 2) return;
    Consider({.expert = expert, .from = rank}, best);
  }

  // Copies the expert to `rank`, in a free place or over one that others hold.
  void ConsiderCopy(int expert, int rank, std::optional<Step>& best) const {
    if (!MayTakeNew(rank, expert)) return;
    if (std::ssize(map_[rank]) < options_.places) {
      return Consider({.expert = expert, .to = rank}, best);
    }
    for (const int dropped : map_[rank]) {
      if (holders_[dropped] < 2) continue;
      Consider({.expert = expert, .to = rank, .dropped = dropped}, best);
    }
  }

  void ConsiderSwap(int expert, int from, int to,
                    std::optional<Step>& best) const {
    if (!MayTakeNew(to, expert)) return;
    for (const int given : map_[to]) {
      if (Holds(map_[from], given) || !MayTakeNew(from, given)) continue;
      if (ShareOf(given) >= ShareOf(expert)) continue;
      Consider({.expert = expert, .to = to, .dropped = given, .from = from},
               best);
    }
  }

  // Judges by the most loaded rank, then by how even the ranks are.
  void Consider(Step step, std::optional<Step>& best) const {
    const std::vector<double> loads = LoadsAfter(step);
    const double before = Roughness(loads_);
    const double after = Roughness(loads);
    int copies = step.to >= 0 && IsNew(step.to, step.expert) ? 1 : 0;
    const bool is_swap = step.dropped >= 0 && step.from >= 0;
    if (is_swap && IsNew(step.from, step.dropped)) ++copies;
    step.value = (before - after) / std::max(1, copies);
    if (step.value < options_.least_saving_per_copy * mean_) return;
    if (!best || step.value > best->value) best = step;
  }

  // The most loaded rank, and a little of the next ones, so that one of several
  // equally loaded ranks is worth relieving.
  double Roughness(const std::vector<double>& loads) const {
    double peak = 0;
    double squares = 0;
    for (const double load : loads) {
      peak = std::max(peak, load);
      const double excess = std::max(0.0, load - mean_);
      squares += excess * excess;
    }
    return peak + (mean_ > 0 ? 0.25 * squares / mean_ : 0);
  }

  // Adds to the time of a rank what a load takes there.
  void AddLoad(std::vector<double>& loads, int rank, double load) const {
    loads[rank] += load * PaceOf(options_.paces, rank);
  }

  // The times of all ranks but one that hold `expert`, once it has another
  // number of holders.
  void Reshare(std::vector<double>& loads, int expert, int holders,
               int besides) const {
    const double change = demand_[expert] / holders - ShareOf(expert);
    for (int rank = 0; rank < std::ssize(map_); ++rank) {
      if (rank == besides || !Holds(map_[rank], expert)) continue;
      AddLoad(loads, rank, change);
    }
  }

  std::vector<double> LoadsAfter(const Step& step) const {
    std::vector<double> loads = loads_;
    const bool is_swap = step.from >= 0 && step.to >= 0;
    const int before = holders_[step.expert];
    const double share = ShareOf(step.expert);
    if (step.to < 0) {
      Reshare(loads, step.expert, before - 1, step.from);
      AddLoad(loads, step.from, -share);
      return loads;
    }
    if (is_swap) {
      const double given = ShareOf(step.dropped);
      AddLoad(loads, step.to, share - given);
      AddLoad(loads, step.from, given - share);
      return loads;
    }
    Reshare(loads, step.expert, before + 1, -1);
    AddLoad(loads, step.to, demand_[step.expert] / (before + 1));
    if (step.dropped >= 0) {
      Reshare(loads, step.dropped, holders_[step.dropped] - 1, step.to);
      AddLoad(loads, step.to, -ShareOf(step.dropped));
    }
    return loads;
  }

  void Apply(const Step& step) {
    loads_ = LoadsAfter(step);
    if (step.to < 0) {
      std::erase(map_[step.from], step.expert);
      --holders_[step.expert];
      return;
    }
    map_[step.to].push_back(step.expert);
    ++holders_[step.expert];
    if (step.dropped >= 0) {
      std::erase(map_[step.to], step.dropped);
      --holders_[step.dropped];
    }
    if (step.from >= 0) {
      std::erase(map_[step.from], step.expert);
      --holders_[step.expert];
      map_[step.from].push_back(step.dropped);
      ++holders_[step.dropped];
    }
  }

  const SetMap& present_;
  SetMap map_;
  const std::vector<double>& demand_;
  const EvenPlacementOptions& options_;
  const std::vector<int>& copies_;  // of other sets, by rank
  std::vector<int> holders_;        // ranks that hold each expert
  std::vector<double> loads_;
  double mean_ = 0;
};

}  // namespace

SetMap DealtInTurn(int ranks, int experts) {
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
              const std::vector<double>& paces) {
  std::vector<double> loads = RankLoads(map, demand);
  const double sum = std::accumulate(loads.begin(), loads.end(), 0.0);
  if (sum <= 0) return 1;
  for (std::size_t rank = 0; rank < loads.size(); ++rank) {
    loads[rank] *= PaceOf(paces, rank);
  }
  return std::ranges::max(loads) * static_cast<double>(loads.size()) / sum;
}

double SkewOf(const GroupMap& map, const ExpertDemand& demand,
              const std::vector<double>& paces) {
  double sum = 0;
  for (std::size_t set = 0; set < map.size(); ++set) {
    sum += SkewOf(map[set], demand[set], paces);
  }
  return map.empty() ? 1 : sum / static_cast<double>(map.size());
}

SetMap PlanEvenly(const SetMap& present, const std::vector<double>& demand,
                  const EvenPlacementOptions& options,
                  std::vector<int>& copies) {
  Plan plan(present, demand, options, copies);
  for (int step = 0; step < kMostSteps && plan.Improve(); ++step) {
  }
  for (std::size_t rank = 0; rank < present.size(); ++rank) {
    copies[rank] += CountNew(present[rank], plan.map()[rank]);
  }
  return plan.map();
}

GroupMap PlanEvenly(const GroupMap& present, const ExpertDemand& demand,
                    const EvenPlacementOptions& options) {
  std::vector<std::size_t> order(present.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(order, std::greater<>(), [&](std::size_t set) {
    return SkewOf(present[set], demand[set], options.paces);
  });
  GroupMap next = present;
  std::vector<int> copies(present.empty() ? 0 : present.front().size());
  for (const std::size_t set : order) {
    next[set] = PlanEvenly(present[set], demand[set], options, copies);
  }
  return next;
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
