// Selects delegates of a zone by rendezvous hashing: all processes that know
// the same members select the same delegates without coordination, and a member
// that joins or leaves changes the rank of no other.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

#include "core/ids.h"
#include "core/stable_hash.h"

namespace mangohold {

// Returns at most `count` of `members`, in the order of their hashes.
inline std::vector<InstanceId> SelectDelegates(std::vector<InstanceId> members,
                                               std::size_t count) {
  std::ranges::sort(members, std::greater<>(), [](const InstanceId& id) {
    return MixedHash(StableHash(id.value()));
  });
  if (members.size() > count) members.resize(count);
  return members;
}

}  // namespace mangohold
