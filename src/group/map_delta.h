// Difference between two expert maps of a group. Agents that know the map in
// use receive the next map as a delta, at a fraction of its size. Pure
// computation: no clock and no network.
//
// A delta names its base version and carries a digest of the resulting map.
// Applying it to any other base fails, so that no agent prepares a map that the
// leader didn't plan.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "backend/engine_api.h"

namespace mangohold {

struct MapDelta {
  // The experts that one rank adds and drops in one set.
  struct Row {
    int set = 0;
    int rank = 0;
    std::vector<int> added;
    std::vector<int> dropped;
  };

  MapVersion base;
  std::uint64_t digest = 0;  // of the resulting map
  std::vector<Row> rows;
};

// Sorts the experts of each rank and set in ascending order.
GroupMap Canonicalize(GroupMap map);
// Returns the digest of a canonical map. Maps that assign the same experts to
// the same ranks have the same digest.
std::uint64_t DigestOf(const GroupMap& canonical);
// Returns the delta from one map to another. `base` is the version of `from`.
// Both maps must have the same sets and ranks.
MapDelta MakeDelta(MapVersion base, const GroupMap& from, const GroupMap& to);
// Returns the resulting map in canonical form, or nullopt if `base` isn't the
// map that `delta` was made from.
std::optional<GroupMap> ApplyDelta(const GroupMap& base, const MapDelta& delta);

// Cache of the last few full maps that an agent has received, by version.
class MapCache {
 public:
  void Put(MapVersion version, GroupMap map);
  // Applies `delta` to its base and caches the resulting map as `version`.
  // Returns nullopt if the base isn't cached or the digest doesn't match.
  std::optional<GroupMap> Resolve(MapVersion version, const MapDelta& delta);
  bool Contains(MapVersion version) const { return Find(version) != nullptr; }

 private:
  static constexpr std::size_t kMaxMaps = 4;

  const GroupMap* Find(MapVersion version) const;

  std::deque<std::pair<MapVersion, GroupMap>> maps_;  // canonical, oldest first
};

}  // namespace mangohold
