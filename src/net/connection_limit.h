// How many connections a server may have open, by the limits of its machine.
#pragma once

#include <algorithm>

namespace mangohold {

inline constexpr int kDefaultMaxConnections = 4'096;

// Of the callers of an entry; `max_descriptors` 0: unknown.
inline int ConnectionLimit(int max_descriptors) {
  // For files, and for connections to the servers of the largest fleet, 600.
  constexpr int kReserve = 800;
  constexpr int kLeast = 64;
  if (max_descriptors == 0) return kDefaultMaxConnections;
  return std::clamp(max_descriptors - kReserve, kLeast, kDefaultMaxConnections);
}

// Of the entries at an agent, each with a read buffer of 64 KiB and one that is
// written. `memory_mb` 0: no limit; `max_descriptors` 0: unknown.
inline int SessionLimit(int memory_mb, int max_descriptors) {
  constexpr int kSessionsPerMb = 2;  // a quarter of the memory at the most
  const int by_memory =
      memory_mb == 0 ? kDefaultMaxConnections : kSessionsPerMb * memory_mb;
  return std::min(by_memory, ConnectionLimit(max_descriptors));
}

}  // namespace mangohold
