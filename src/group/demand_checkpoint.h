// A group's demand in the store, so that a leader which starts after all
// machines have been down plans at once. Answers the pattern in which demand
// has shifted shortly before that: what is kept is no older than a moment.
#pragma once

#include <functional>
#include <memory>
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

// The part of the choices that fall on other experts in one demand than in the
// other, as a mean over the sets; 1 for demands of different shapes.
double DemandDistance(const ExpertDemand& first, const ExpertDemand& second);

// Belongs to the event loop's thread of its store, which it doesn't outlive.
class DemandCheckpoint {
 public:
  DemandCheckpoint(Store& store, std::string key)
      : store_(store), key_(std::move(key)) {}

  // Writes the demand if it differs from what is kept, but not again within a
  // moment of the last write. Call it from time to time. A write that fails is
  // logged, and made good by a later one.
  void Save(const ExpertDemand& demand, TimePoint now);
  // Reads what was kept; `on_demand` isn't called if there is nothing.
  void Load(std::function<void(const ExpertDemand&)> on_demand) const;

 private:
  Store& store_;
  std::string key_;
  std::optional<TimePoint> saved_at_;
  // Shared with the write in progress, which may end later than this object.
  std::shared_ptr<ExpertDemand> saved_ = std::make_shared<ExpertDemand>();
};

}  // namespace mangohold
