// Aggregation of expert counts on their way to a group's leader. In a large
// group, some agents of each availability zone collect the counts of their
// neighbors and forward the sum, so that what the leader receives and decodes
// grows with the number of collectors and not with the number of ranks. Pure
// computation: no clock and no network.
#pragma once

#include <optional>
#include <vector>

#include "backend/engine_api.h"
#include "core/ids.h"

namespace mangohold {

// Element-wise sum of the expert counts that wait to be forwarded.
class ExpertCountSum {
 public:
  // Adds `counts` to the sum. The sum grows to the length of the longest
  // vector.
  void Add(const ExpertCounts& counts);
  // Returns the sum and resets it. Empty if all counts were zero.
  ExpertCounts Take();

 private:
  ExpertCounts sum_;
  bool is_nonzero_ = false;
};

// What the leader knows of a rank when it assigns collectors.
struct CollectorCandidate {
  ZoneName zone;
  bool is_responsive = false;  // its agent sent a status recently
};

// Returns, for each rank, the rank whose agent collects its counts. The counts
// of a rank without a collector, or that is its own collector, go to the
// leader. Groups of few ranks have no collectors.
std::vector<std::optional<int>> AssignCollectors(
    const std::vector<CollectorCandidate>& ranks, int leader);

}  // namespace mangohold
