#include "group/map_delta.h"

#include <algorithm>
#include <iterator>

#include "core/stable_hash.h"

namespace mangohold {
namespace {

std::vector<int> Without(const std::vector<int>& all,
                         const std::vector<int>& some) {
  std::vector<int> rest;
  std::ranges::set_difference(all, some, std::back_inserter(rest));
  return rest;
}

bool IsRowInRange(const GroupMap& map, const MapDelta::Row& row) {
  return row.set >= 0 && row.set < std::ssize(map) && row.rank >= 0 &&
         row.rank < std::ssize(map[row.set]);
}

}  // namespace

GroupMap Canonicalize(GroupMap map) {
  for (SetMap& set : map) {
    for (auto& experts : set) std::ranges::sort(experts);
  }
  return map;
}

std::uint64_t DigestOf(const GroupMap& canonical) {
  std::uint64_t digest = 0;
  const auto add = [&digest](std::uint64_t value) {
    digest = MixedHash(digest + value + 1);
  };
  for (const SetMap& set : canonical) {
    add(set.size());
    for (const auto& experts : set) {
      add(experts.size());
      for (const int expert : experts) add(static_cast<std::uint64_t>(expert));
    }
  }
  return digest;
}

MapDelta MakeDelta(MapVersion base, const GroupMap& from, const GroupMap& to) {
  const GroupMap before = Canonicalize(from);
  const GroupMap after = Canonicalize(to);
  MapDelta delta{.base = base, .digest = DigestOf(after)};
  for (int set = 0; set < std::ssize(after); ++set) {
    for (int rank = 0; rank < std::ssize(after[set]); ++rank) {
      const auto& old_row = before[set][rank];
      const auto& new_row = after[set][rank];
      if (old_row == new_row) continue;
      delta.rows.push_back({.set = set,
                            .rank = rank,
                            .added = Without(new_row, old_row),
                            .dropped = Without(old_row, new_row)});
    }
  }
  return delta;
}

std::optional<GroupMap> ApplyDelta(const GroupMap& base,
                                   const MapDelta& delta) {
  GroupMap map = Canonicalize(base);
  for (const MapDelta::Row& row : delta.rows) {
    if (!IsRowInRange(map, row)) return std::nullopt;
    auto& experts = map[row.set][row.rank];
    experts = Without(experts, row.dropped);
    std::ranges::copy(row.added, std::back_inserter(experts));
    std::ranges::sort(experts);
  }
  if (DigestOf(map) != delta.digest) return std::nullopt;
  return map;
}

void MapCache::Put(MapVersion version, GroupMap map) {
  std::erase_if(
      maps_, [version](const auto& entry) { return entry.first == version; });
  maps_.emplace_back(version, Canonicalize(std::move(map)));
  if (maps_.size() > kMaxMaps) maps_.pop_front();
}

std::optional<GroupMap> MapCache::Resolve(MapVersion version,
                                          const MapDelta& delta) {
  const GroupMap* base = Find(delta.base);
  if (base == nullptr) return std::nullopt;
  std::optional<GroupMap> map = ApplyDelta(*base, delta);
  if (map) Put(version, *map);
  return map;
}

const GroupMap* MapCache::Find(MapVersion version) const {
  const auto it = std::ranges::find(maps_, version,
                                    &std::pair<MapVersion, GroupMap>::first);
  return it == maps_.end() ? nullptr : &it->second;
}

}  // namespace mangohold
