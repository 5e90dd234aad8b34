// Which members speak for their zone: drawn by rendezvous hashing, so that all
// who know the same members agree without asking one another, and one that
// comes or goes moves no other.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

#include "core/ids.h"
#include "core/stable_hash.h"

namespace mangohold {

// At most `count` of `members`, in the order in which they are drawn.
inline std::vector<InstanceId> SelectDelegates(std::vector<InstanceId> members,
                                               std::size_t count) {
  std::ranges::sort(members, std::greater<>(), [](const InstanceId& id) {
    return MixedHash(StableHash(id.value()));
  });
  if (members.size() > count) members.resize(count);
  return members;
}

}  // namespace mangohold
