// Choices of experts on their way to a group's leader. In a large group the
// agents of a zone send theirs to one among them, which passes on the sum, so
// that what a leader receives and decodes grows with the number of collectors
// and not with the ranks. No clock and no network.
#pragma once

#include <optional>
#include <vector>

#include "backend/engine_api.h"
#include "core/ids.h"

namespace mangohold {

// Sums of choices that wait to be passed on.
class ExpertCountSum {
 public:
  // Choices that name more experts than those before make the sums longer.
  void Add(const ExpertCounts& counts);
  // The sums, which begin anew. Empty: nothing was chosen.
  ExpertCounts Take();

 private:
  ExpertCounts sum_;
  bool is_nonzero_ = false;
};

// A rank as its leader sees it.
struct CollectorCandidate {
  ZoneName zone;
  bool is_responsive = false;  // its agent has told something lately
};

// For each rank the one whose agent collects its choices; the rank itself or
// nothing means that its choices go to the leader. Groups of few ranks need no
// collectors.
std::vector<std::optional<int>> AssignCollectors(
    const std::vector<CollectorCandidate>& ranks, int leader);

}  // namespace mangohold
