#include "group/expert_lists.h"

#include <algorithm>
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

bool IsEachHeld(const SetMap& map, int experts) {
  std::vector<bool> is_held(static_cast<std::size_t>(experts));
  for (const auto& list : map) {
    for (const int expert : list) is_held[expert] = true;
  }
  return std::ranges::find(is_held, false) == is_held.end();
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
    if (!IsEachHeld(map[set], layout.experts)) {
      return Fault("an expert that no rank holds", set);
    }
  }
  return status;
}

}  // namespace mangohold
