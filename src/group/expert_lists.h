// The experts that ranks say they hold. The numbers are used as indexes when a
// map is planned, so that each list is checked against the published figures of
// the group's engines before it is used. Pure computation: no clock and no
// network.
#pragma once

#include <optional>
#include <vector>

#include "absl/status/status.h"
#include "backend/engine_api.h"
#include "config/deployment.h"
#include "group/even_placement.h"

namespace mangohold {

// Dimensions of the map of a group, as the operators publish them. 0: unknown;
// what it bounds isn't checked then.
struct ExpertLayout {
  int sets = 0;
  int experts = 0;  // of each set
  int places = 0;   // experts of a set on a rank at the most
};

inline ExpertLayout LayoutOf(const EngineFigures& engine) {
  return {.sets = engine.expert_sets,
          .experts = engine.experts,
          .places = engine.places};
}

// Checks the experts of one rank: the number of sets, the range of each
// expert, that none is listed twice, and how many there are. InvalidArgument
// names the first fault.
absl::Status CheckLists(const ExpertLists& lists, const ExpertLayout& layout);
// Checks the map of a group: the lists of each rank, and that each expert is
// held by a rank.
absl::Status CheckMap(const GroupMap& map, const ExpertLayout& layout);

// Returns the map that the lists of a group's ranks make up. One rank may be
// missing, as its lists are empty or can't be right: the experts that no other
// rank holds are assigned to it. Returns nullopt if more ranks are missing, or
// if there are such experts but no rank is missing.
std::optional<GroupMap> CompleteMap(const std::vector<ExpertLists>& ranks,
                                    int experts);

}  // namespace mangohold
