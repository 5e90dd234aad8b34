#include "group/count_aggregation.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace mangohold {
namespace {

// In a group of at most this many ranks, all agents send their counts directly
// to the leader.
constexpr std::size_t kMaxDirectRanks = 24;
constexpr std::size_t kRanksPerCollector = 8;

}  // namespace

void ExpertCountSum::Add(const ExpertCounts& counts) {
  sum_.resize(std::max(sum_.size(), counts.size()));
  std::ranges::transform(counts, sum_, sum_.begin(), std::plus<>());
  is_nonzero_ = is_nonzero_ || std::ranges::any_of(counts, [](auto count) {
                  return count != 0;
                });
}

ExpertCounts ExpertCountSum::Take() {
  if (!std::exchange(is_nonzero_, false)) return {};
  return std::exchange(sum_, {});
}

std::vector<std::optional<int>> AssignCollectors(
    const std::vector<CollectorCandidate>& ranks, int leader) {
  std::vector<std::optional<int>> collectors(ranks.size());
  if (ranks.size() <= kMaxDirectRanks) return collectors;
  struct CollectorGroup {
    std::optional<int> collector;
    std::size_t members = 0;
  };
  std::map<ZoneName, CollectorGroup> groups_by_zone;
  for (int rank = 0; rank < std::ssize(ranks); ++rank) {
    if (rank == leader || !ranks[rank].is_responsive) continue;
    CollectorGroup& group = groups_by_zone[ranks[rank].zone];
    if (group.members % kRanksPerCollector == 0) group.collector = rank;
    ++group.members;
    collectors[rank] = group.collector;
  }
  return collectors;
}

}  // namespace mangohold
