// Saves a group's expert demand in the store, so that a leader that starts
// after an outage of all machines can plan a map at once. The saved demand is
// at most about a second old, so that it covers a shift shortly before the
// outage.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"
#include "group/even_placement.h"
#include "store/store.h"

namespace mangohold {

// Encodes demand as a JSON array with one array of integers per expert set. The
// largest value of each set is scaled to 250: only the proportions within a set
// matter, and small numbers keep the text short.
std::string EncodeDemand(const ExpertDemand& demand);
// Returns nullopt if `text` isn't such an array, has sets of different sizes,
// or contains a negative value.
std::optional<ExpertDemand> DecodeDemand(const std::string& text);

// Returns the fraction of tokens that go to different experts under the two
// demands (total variation distance), as a mean over the sets. 0: same
// proportions; 1: disjoint, of different shapes, or empty.
double DemandDistance(const ExpertDemand& first, const ExpertDemand& second);

// Used on the event loop thread of its store, which must outlive it.
class DemandCheckpoint {
 public:
  DemandCheckpoint(Store& store, std::string key)
      : store_(store), key_(std::move(key)) {}

  // Writes the demand if it differs enough from the saved one, at most once a
  // second. Call it periodically: a failed write is logged, and a later call
  // writes again.
  void Save(const ExpertDemand& demand, TimePoint now);
  // Reads the saved demand. `on_demand` isn't called if none is saved or the
  // read fails.
  void Load(std::function<void(const ExpertDemand&)> on_demand) const;

 private:
  Store& store_;
  std::string key_;
  std::optional<TimePoint> saved_at_;
  // Last demand written. Shared with the callback of a write in progress, which
  // may run after this object's destruction.
  std::shared_ptr<ExpertDemand> saved_ = std::make_shared<ExpertDemand>();
};

}  // namespace mangohold
