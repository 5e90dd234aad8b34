#include "group/placement.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <optional>
#include <ranges>
#include <span>

namespace mangohold {
namespace {

// Rounds of balancing shares. Each round improves the slowest rank, with
// quickly diminishing returns.
constexpr int kShareRounds = 8;
// Number of target ranks that are tried for each move.
constexpr int kMaxTargetRanks = 2;

std::vector<double> RankTimes(const ExpertMap& map, const LayerLoad& load) {
  std::vector<double> times(static_cast<std::size_t>(map.shape.ranks));
  for (int slot = 0; slot < map.shape.slots(); ++slot) {
    const int rank = map.RankOf(slot);
    const double tokens = map.share[slot] * load.expert_load[map.expert[slot]];
    times[rank] += tokens / load.rank_speed[rank];
  }
  return times;
}

using SlotsByExpert = std::vector<std::vector<int>>;

// Returns the slots of each expert. If a rank holds an expert twice, only the
// first slot is listed.
SlotsByExpert ToSlotsByExpert(const ExpertMap& map) {
  SlotsByExpert slots(static_cast<std::size_t>(map.shape.experts));
  for (int slot = 0; slot < map.shape.slots(); ++slot) {
    auto& holders = slots[map.expert[slot]];
    const bool is_duplicate =
        !holders.empty() && map.RankOf(holders.back()) == map.RankOf(slot);
    if (!is_duplicate) holders.push_back(slot);
  }
  return slots;
}

// Moves the share of a slot that duplicates an expert on its rank to the
// expert's first slot there.
void MergeDuplicateSlots(ExpertMap& map, const SlotsByExpert& slots) {
  for (int slot = 0; slot < map.shape.slots(); ++slot) {
    const auto& holders = slots[map.expert[slot]];
    const auto first = std::ranges::find(
        holders, map.RankOf(slot), [&map](int s) { return map.RankOf(s); });
    if (*first == slot) continue;
    map.share[*first] += map.share[slot];
    map.share[slot] = 0;
  }
}

// Divides one expert's tokens among its ranks by water-filling: the ranks that
// receive tokens finish at the same time, and ranks that finish later even
// without them receive none.
void WaterFillExpert(ExpertMap& map, const LayerLoad& load, int expert,
                     std::vector<int>& slots, std::vector<double>& times) {
  const double tokens = load.expert_load[expert];
  if (tokens <= 0) return;
  for (const int slot : slots) {
    const int rank = map.RankOf(slot);
    times[rank] -= map.share[slot] * tokens / load.rank_speed[rank];
  }
  std::ranges::sort(slots, {},
                    [&](int slot) { return times[map.RankOf(slot)]; });
  // Find the time (water level) at which the first i + 1 ranks have processed
  // all tokens, and which the next rank exceeds without any.
  double speed = 0;
  double speed_times_time = 0;
  double level = 0;
  for (std::size_t i = 0; i < slots.size(); ++i) {
    const int rank = map.RankOf(slots[i]);
    speed += load.rank_speed[rank];
    speed_times_time += load.rank_speed[rank] * times[rank];
    level = (tokens + speed_times_time) / speed;
    const bool is_last =
        i + 1 == slots.size() || level <= times[map.RankOf(slots[i + 1])];
    if (is_last) break;
  }
  for (const int slot : slots) {
    const int rank = map.RankOf(slot);
    const double time = std::max(0.0, level - times[rank]);
    map.share[slot] = time * load.rank_speed[rank] / tokens;
    times[rank] += time;
  }
}

bool Holds(const ExpertMap& map, int rank, int expert) {
  const auto slots =
      std::span(map.expert)
          .subspan(static_cast<std::size_t>(rank) * map.shape.slots_per_rank,
                   map.shape.slots_per_rank);
  return std::ranges::find(slots, expert) != slots.end();
}

ExpertMap PlanStatic(const ExpertMap& current, const LayerLoad&,
                     const PlanOptions&) {
  return current;
}

// Computes the number of replicas of each expert from its load, then assigns
// the replicas in descending order of load, each to the rank that would finish
// first.
ExpertMap PlanFull(const ExpertMap& current, const LayerLoad& load,
                   const PlanOptions&) {
  const GroupShape& shape = current.shape;
  // 1. Each expert gets one replica. Each further replica goes to the expert
  // with the largest load per replica.
  std::vector<int> replicas(static_cast<std::size_t>(shape.experts), 1);
  for (int spare = shape.slots() - shape.experts; spare > 0; --spare) {
    const auto density = [&](int expert) {
      return replicas[expert] < shape.ranks
                 ? load.expert_load[expert] / replicas[expert]
                 : -1;
    };
    ++replicas[std::ranges::max(std::views::iota(0, shape.experts), {},
                                density)];
  }
  // 2. Sort the replicas by load, the largest first.
  std::vector<int> order;
  for (int expert = 0; expert < shape.experts; ++expert) {
    order.insert(order.end(), static_cast<std::size_t>(replicas[expert]),
                 expert);
  }
  const auto load_of_replica = [&](int expert) {
    return load.expert_load[expert] / replicas[expert];
  };
  std::ranges::stable_sort(order, std::greater<>(), load_of_replica);
  // 3. Assign each replica to the rank that would finish first, preferably one
  // that doesn't hold the expert yet.
  ExpertMap map = current;
  std::ranges::fill(map.expert, -1);
  std::vector<double> times(static_cast<std::size_t>(shape.ranks));
  std::vector<int> used(static_cast<std::size_t>(shape.ranks));
  for (const int expert : order) {
    int best = -1;
    bool best_is_new = false;
    double best_time = 0;
    for (int rank = 0; rank < shape.ranks; ++rank) {
      if (used[rank] == shape.slots_per_rank) continue;
      const bool is_new = !Holds(map, rank, expert);
      const double time =
          times[rank] + load_of_replica(expert) / load.rank_speed[rank];
      const bool is_better = best < 0 || (is_new && !best_is_new) ||
                             (is_new == best_is_new && time < best_time);
      if (!is_better) continue;
      best = rank;
      best_is_new = is_new;
      best_time = time;
    }
    const int slot = best * shape.slots_per_rank + used[best]++;
    map.expert[slot] = expert;
    map.share[slot] = 1.0 / replicas[expert];
    times[best] = best_time;
  }
  BalanceShares(map, load);
  return map;
}

// Returns a slot of `rank` whose expert can be replaced because another rank
// holds a replica, preferably the slot with the fewest tokens. Returns nullopt
// if there is none.
std::optional<int> FindReplaceableSlot(const ExpertMap& map,
                                       const LayerLoad& load,
                                       const SlotsByExpert& slots, int rank) {
  std::optional<int> best;
  double best_tokens = 0;
  for (int i = 0; i < map.shape.slots_per_rank; ++i) {
    const int slot = rank * map.shape.slots_per_rank + i;
    if (slots[map.expert[slot]].size() < 2) continue;
    const double tokens = map.share[slot] * load.expert_load[map.expert[slot]];
    if (best && tokens >= best_tokens) continue;
    best = slot;
    best_tokens = tokens;
  }
  return best;
}

// Returns the map with `expert` loaded into `slot` and with balanced shares.
ExpertMap WithMove(const ExpertMap& map, const LayerLoad& load, int slot,
                   int expert) {
  ExpertMap moved = map;
  // The other replicas of the replaced expert take over its share.
  const double freed_share = map.share[slot];
  const auto replicas = ToSlotsByExpert(map)[map.expert[slot]];
  for (const int other : replicas) {
    if (other == slot) continue;
    moved.share[other] +=
        freed_share / static_cast<double>(replicas.size() - 1);
  }
  moved.expert[slot] = expert;
  moved.share[slot] = 0;
  BalanceShares(moved, load);
  return moved;
}

// Returns the map after the single move that improves the slowest rank most: a
// new replica of one of its experts on one of the ranks that finish first.
// Returns nullopt if no move improves it.
std::optional<ExpertMap> BestMove(const ExpertMap& map, const LayerLoad& load) {
  const auto times = RankTimes(map, load);
  const auto slots = ToSlotsByExpert(map);
  std::vector<int> ranks(times.size());
  std::iota(ranks.begin(), ranks.end(), 0);
  std::ranges::sort(ranks, {}, [&](int rank) { return times[rank]; });
  const int slowest = ranks.back();
  std::optional<ExpertMap> best;
  double best_time = times[slowest];
  for (int i = 0; i < map.shape.slots_per_rank; ++i) {
    const int expert = map.expert[slowest * map.shape.slots_per_rank + i];
    int tried = 0;
    for (const int rank : ranks) {
      if (tried == kMaxTargetRanks || rank == slowest) break;
      if (Holds(map, rank, expert)) continue;
      const auto slot = FindReplaceableSlot(map, load, slots, rank);
      if (!slot) continue;
      ++tried;
      ExpertMap candidate = WithMove(map, load, *slot, expert);
      const double time = TimeOf(candidate, load).slowest;
      if (time >= best_time) continue;
      best_time = time;
      best = std::move(candidate);
    }
  }
  return best;
}

// First balances the shares, which is free, then makes single moves as long as
// each saves more over the horizon than it costs.
ExpertMap PlanIncremental(const ExpertMap& current, const LayerLoad& load,
                          const PlanOptions& options) {
  ExpertMap map = current;
  BalanceShares(map, load);
  for (int move = 0; move < options.max_moves; ++move) {
    const double before = TimeOf(map, load).slowest;
    auto next = BestMove(map, load);
    if (!next) break;
    const double saving = before - TimeOf(*next, load).slowest;
    const bool pays = saving * options.horizon_steps > options.move_cost;
    if (!pays || saving < options.min_saving * before) break;
    map = std::move(*next);
  }
  return map;
}

}  // namespace

ExpertMap InitialMap(const GroupShape& shape) {
  ExpertMap map{.shape = shape};
  const auto slots = static_cast<std::size_t>(shape.slots());
  map.expert.resize(slots);
  map.share.resize(slots);
  for (int slot = 0; slot < shape.slots(); ++slot) {
    // Adjacent slots of a rank hold experts that are far apart.
    const int index_in_rank = slot % shape.slots_per_rank;
    const int rank = map.RankOf(slot);
    map.expert[slot] =
        (rank + index_in_rank * (shape.experts / 2 + 1)) % shape.experts;
  }
  const auto by_expert = ToSlotsByExpert(map);
  for (int slot = 0; slot < shape.slots(); ++slot) {
    map.share[slot] =
        1.0 / static_cast<double>(by_expert[map.expert[slot]].size());
  }
  return map;
}

StepTime TimeOf(const ExpertMap& map, const LayerLoad& load) {
  const auto times = RankTimes(map, load);
  return {.slowest = std::ranges::max(times),
          .mean = std::accumulate(times.begin(), times.end(), 0.0) /
                  static_cast<double>(times.size())};
}

// Each round redistributes the tokens of each expert by water-filling, the
// largest expert first. No redistribution increases the time of the slowest
// rank, so no round makes the map worse.
void BalanceShares(ExpertMap& map, const LayerLoad& load) {
  SlotsByExpert slots = ToSlotsByExpert(map);
  MergeDuplicateSlots(map, slots);
  std::vector<double> times = RankTimes(map, load);
  std::vector<int> order(static_cast<std::size_t>(map.shape.experts));
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(order, std::greater<>(),
                    [&](int expert) { return load.expert_load[expert]; });
  for (int round = 0; round < kShareRounds; ++round) {
    for (const int expert : order) {
      WaterFillExpert(map, load, expert, slots[expert], times);
    }
  }
}

int CountMoves(const ExpertMap& from, const ExpertMap& to) {
  int moves = 0;
  for (int slot = 0; slot < to.shape.slots(); ++slot) {
    if (!Holds(from, to.RankOf(slot), to.expert[slot])) ++moves;
  }
  return moves;
}

const std::array<PlacementStrategy, kPlacementStrategyCount>&
PlacementStrategies() {
  static constexpr std::array<PlacementStrategy, kPlacementStrategyCount>
      kStrategies = {{{"static", &PlanStatic},
                      {"full", &PlanFull},
                      {"incremental", &PlanIncremental}}};
  return kStrategies;
}

}  // namespace mangohold
