#include "group/choice_sums.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace mangohold {
namespace {

// The leader of a group of at most this many ranks takes their choices itself.
constexpr std::size_t kMostDirect = 24;
constexpr std::size_t kRanksPerCollector = 8;

}  // namespace

void ChoiceSums::Add(const ExpertCounts& choices) {
  sums_.resize(std::max(sums_.size(), choices.size()));
  std::ranges::transform(choices, sums_, sums_.begin(), std::plus<>());
  has_any_ = has_any_ || std::ranges::any_of(
                             choices, [](auto count) { return count != 0; });
}

ExpertCounts ChoiceSums::Take() {
  if (!std::exchange(has_any_, false)) return {};
  return std::exchange(sums_, {});
}

std::vector<std::optional<int>> AssignCollectors(
    const std::vector<CollectorCandidate>& ranks, int leader) {
  std::vector<std::optional<int>> collectors(ranks.size());
  if (ranks.size() <= kMostDirect) return collectors;
  struct Block {
    std::optional<int> collector;
    std::size_t members = 0;
  };
  std::map<ZoneName, Block> blocks;
  for (int rank = 0; rank < std::ssize(ranks); ++rank) {
    if (rank == leader || !ranks[rank].is_heard) continue;
    Block& block = blocks[ranks[rank].zone];
    if (block.members % kRanksPerCollector == 0) block.collector = rank;
    ++block.members;
    collectors[rank] = block.collector;
  }
  return collectors;
}

}  // namespace mangohold
