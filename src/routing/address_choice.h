// Chooses the entries that an answer of the directory names, so that over many
// answers each is named in proportion to its capacity. Callers choose among the
// named ones with equal probability. Does no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace mangohold {

struct AddressCandidate {
  std::string_view id;
  std::string_view zone;
  double capacity = 0;  // in any unit; 0 and what can't be one: unknown
};
using AddressCandidates = std::vector<AddressCandidate>;

struct AddressQuestion {
  std::string_view zone;  // the caller's; empty if it doesn't say
  // Equal seeds give equal answers. Callers need different ones: all that are
  // given the same answer load the few entries that it names.
  std::uint64_t seed = 0;
  // By any clock that only the questions of this seed share.
  TimePoint now;
};

struct AddressLimits {
  // Callers try another entry if one fails.
  std::size_t least = 8;
  std::size_t most = 64;  // that callers read
  // An entry of less than the greatest capacity is drawn again after this, each
  // at a time of its own. Callers close their connections to entries that are
  // no longer named.
  Duration redraw_interval = std::chrono::minutes(2);
};

// The places of the named entries among the candidates, in their order: those
// of the caller's own zone if it has at least two, else of all zones. Unknown
// capacities count as the mean of the known ones. Between `limits.least` and
// `limits.most` entries are named, or all if there are fewer; all up to
// `limits.most` if their capacities are equal.
std::vector<std::size_t> ChooseAddresses(const AddressCandidates& candidates,
                                         const AddressQuestion& question,
                                         const AddressLimits& limits = {});

}  // namespace mangohold
