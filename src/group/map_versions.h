// The versions that one leader gives to the maps of its term. Uses neither
// clock nor network.
#pragma once

#include <cstdint>

#include "backend/engine_api.h"
#include "group/leader_term.h"

namespace mangohold {

// Versions start at the term times `kPerTerm`, so that no two leaders assign a
// version to different maps. Odd versions undo a switch and are never armed:
// preparing one voids orders to arm earlier versions.
class MapVersions {
 public:
  explicit MapVersions(LeaderTerm term) : term_(term) {}

  MapVersion Next(bool is_undo) {
    issued_ += 2;
    return MapVersion(term_.value() * kPerTerm + issued_ + (is_undo ? 1 : 0));
  }
  // False if the versions of this term are nearly used up: what is left is for
  // undoing a switch in progress.
  bool HasLeft() const { return issued_ + kInReserve < kPerTerm; }

  static bool IsUndo(MapVersion version) { return version.value() % 2 == 1; }
  // True if the leader of `term` may have armed ranks for `version`.
  static bool IsArmedIn(LeaderTerm term, MapVersion version) {
    return !IsUndo(version) && version.value() / kPerTerm == term.value();
  }

 private:
  static constexpr std::uint64_t kPerTerm = 1U << 14U;
  static constexpr std::uint64_t kInReserve = 256;

  LeaderTerm term_;
  std::uint64_t issued_ = 0;
};

}  // namespace mangohold
