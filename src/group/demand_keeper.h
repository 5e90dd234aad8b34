// A group's demand in the store, so that a leader which starts after all
// machines have been down plans at once.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "core/clock.h"
#include "group/even_placement.h"
#include "store/store.h"

namespace mangohold {

// Demand as text, in coarse steps, set by set: its proportions are what counts.
std::string EncodeDemand(const ExpertDemand& demand);
// Nothing for a text that is no demand.
std::optional<ExpertDemand> DecodeDemand(const std::string& text);

// Belongs to the event loop's thread of its store, which it doesn't outlive.
class DemandKeeper {
 public:
  DemandKeeper(Store& store, std::string key)
      : store_(store), key_(std::move(key)) {}

  // Writes the demand, unless that was done a moment ago. A write that fails is
  // logged, and made good by the next one.
  void Keep(const ExpertDemand& demand, TimePoint now);
  // Reads what was kept; `on_demand` isn't called if there is nothing.
  void Read(std::function<void(const ExpertDemand&)> on_demand) const;

 private:
  Store& store_;
  std::string key_;
  std::optional<TimePoint> kept_at_;
};

}  // namespace mangohold
