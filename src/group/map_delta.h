// The difference between two maps of a group, so that agents that know the one
// in use are told of the next one in a fraction of its size. No clock and no
// network.
//
// A difference names the version that it changes and carries a digest of the
// map that it leads to. Applied to anything else it gives nothing, so that no
// agent ever prepares a map that the leader didn't mean.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "backend/engine_api.h"

namespace mangohold {

struct MapDelta {
  // What one rank takes up and gives up in one set.
  struct Row {
    int set = 0;
    int rank = 0;
    std::vector<int> added;
    std::vector<int> dropped;
  };

  MapVersion base;
  std::uint64_t digest = 0;  // of the whole map that it leads to
  std::vector<Row> rows;
};

// The experts of each rank and set in ascending order.
GroupMap Canonicalize(GroupMap map);
// Maps with the same experts at the same places have the same digest.
std::uint64_t DigestOf(const GroupMap& canonical);
// Both maps have the same sets and ranks.
MapDelta MakeDelta(MapVersion base, const GroupMap& from, const GroupMap& to);
// Nothing if `base` isn't the map that `delta` was made against.
std::optional<GroupMap> ApplyDelta(const GroupMap& base, const MapDelta& delta);

// The latest maps that an agent knows whole, by version.
class MapCache {
 public:
  void Put(MapVersion version, GroupMap map);
  // The map that `delta` leads to, which is kept as `version`. Nothing if its
  // base isn't known.
  std::optional<GroupMap> Resolve(MapVersion version, const MapDelta& delta);
  bool Contains(MapVersion version) const { return Find(version) != nullptr; }

 private:
  static constexpr std::size_t kMaxMaps = 4;

  const GroupMap* Find(MapVersion version) const;

  std::deque<std::pair<MapVersion, GroupMap>> maps_;  // canonical, oldest first
};

}  // namespace mangohold
