#include "group/expert_lists.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <string>
#include <utility>

namespace mangohold {
namespace {

absl::Status Fault(const std::string& what, std::size_t set) {
  return absl::InvalidArgumentError(what + " in set " + std::to_string(set));
}

absl::Status CheckSetCount(std::size_t sets, const ExpertLayout& layout) {
  if (sets == 0) return absl::InvalidArgumentError("no sets");
  if (layout.sets > 0 && std::cmp_not_equal(sets, layout.sets)) {
    return absl::InvalidArgumentError(std::to_string(sets) + " sets");
  }
  return absl::OkStatus();
}

absl::Status CheckList(const std::vector<int>& experts, std::size_t set,
                       const ExpertLayout& layout) {
  if (layout.places > 0 && std::ssize(experts) > layout.places) {
    return Fault(std::to_string(experts.size()) + " experts", set);
  }
  std::vector<int> sorted = experts;
  std::ranges::sort(sorted);
  const bool is_out_of_range =
      !sorted.empty() &&
      (sorted.front() < 0 ||
       (layout.experts > 0 && sorted.back() >= layout.experts));
  if (is_out_of_range) return Fault("an expert that doesn't exist", set);
  if (std::ranges::adjacent_find(sorted) != sorted.end()) {
    return Fault("an expert listed twice", set);
  }
  return absl::OkStatus();
}

// The experts that no rank holds, in ascending order.
std::vector<int> UnheldExperts(const SetMap& map, int experts) {
  std::vector<bool> is_held(static_cast<std::size_t>(experts));
  for (const auto& list : map) {
    for (const int expert : list) is_held[expert] = true;
  }
  std::vector<int> unheld;
  std::ranges::copy_if(std::views::iota(0, experts), std::back_inserter(unheld),
                       [&](int expert) { return !is_held[expert]; });
  return unheld;
}

}  // namespace

absl::Status CheckLists(const ExpertLists& lists, const ExpertLayout& layout) {
  absl::Status status = CheckSetCount(lists.size(), layout);
  for (std::size_t set = 0; set < lists.size() && status.ok(); ++set) {
    status = CheckList(lists[set], set, layout);
  }
  return status;
}

absl::Status CheckMap(const GroupMap& map, const ExpertLayout& layout) {
  absl::Status status = CheckSetCount(map.size(), layout);
  for (std::size_t set = 0; set < map.size() && status.ok(); ++set) {
    if (map[set].size() != map.front().size()) {
      return Fault(std::to_string(map[set].size()) + " ranks", set);
    }
    for (const auto& list : map[set]) {
      status = CheckList(list, set, layout);
      if (!status.ok()) return status;
    }
    const bool is_complete =
        layout.experts <= 0 || UnheldExperts(map[set], layout.experts).empty();
    if (!is_complete) {
      return Fault("an expert that no rank holds", set);
    }
  }
  return status;
}

std::optional<GroupMap> CompleteMap(const std::vector<ExpertLists>& ranks,
                                    int experts) {
  const auto is_missing = [experts](const ExpertLists& lists) {
    return !CheckLists(lists, {.experts = experts}).ok();
  };
  const auto missing = std::ranges::find_if(ranks, is_missing);
  const auto known = std::ranges::find_if_not(ranks, is_missing);
  if (experts <= 0 || known == ranks.end()) return std::nullopt;
  if (std::ranges::count_if(ranks, is_missing) > 1) return std::nullopt;
  GroupMap map(known->size(), SetMap(ranks.size()));
  for (std::size_t set = 0; set < map.size(); ++set) {
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
      if (is_missing(ranks[rank])) continue;
      if (ranks[rank].size() != map.size()) return std::nullopt;
      map[set][rank] = ranks[rank][set];
    }
    const std::vector<int> unheld = UnheldExperts(map[set], experts);
    if (unheld.empty()) continue;
    if (missing == ranks.end()) return std::nullopt;
    map[set][missing - ranks.begin()] = unheld;
  }
  return map;
}

}  // namespace mangohold
