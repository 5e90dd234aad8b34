// A group's demand as it is kept in the store, so that a leader which starts
// after all machines have been down plans at once.
#pragma once

#include <optional>
#include <string>

#include "group/even_placement.h"

namespace mangohold {

// Demand in coarse steps, set by set: its proportions are what counts.
std::string EncodeDemand(const ExpertDemand& demand);
// Nothing for a text that is no demand.
std::optional<ExpertDemand> DecodeDemand(const std::string& text);

}  // namespace mangohold
