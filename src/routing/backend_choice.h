// Chooses one of the backends that may get a request. Does no I/O and reads no
// clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/random.h"

namespace mangohold {

struct BackendCandidate {
  std::string_view id;
  double cost = 0;    // see LoadCost
  int slots = 0;      // requests that it runs at once
  int suspects = 0;   // requests there that were at a crash
  double saving = 0;  // by the cached beginning of the prompt, as a cost
};
using BackendCandidates = std::vector<BackendCandidate>;

// Each returns the place of the chosen one among the candidates; absent if
// there are none.

// The one with the lowest cost, less its saving.
std::optional<std::size_t> ChooseLeastLoaded(
    const BackendCandidates& candidates, Random& random);
// One drawn with a probability proportional to its free capacity, so that the
// requests of all entries together fill the backends evenly. Those with a
// saving are preferred while they have room.
std::optional<std::size_t> DrawByFreeCapacity(
    const BackendCandidates& candidates, Random& random);
// The one with the fewest suspects; among these the same at all entries for all
// copies of the request.
std::optional<std::size_t> ChooseForSuspect(const BackendCandidates& candidates,
                                            RequestDigest suspect);

}  // namespace mangohold
